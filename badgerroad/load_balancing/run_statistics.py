"""Statistics of runs: decaying throughput, start delays, and mean run time by request class."""

FORGET_AFTER_US = 4_000_000
"""Age (microseconds) at which observations of a single worker no longer count."""
RUN_WEIGHT = 0.1
"""Weight of the newest run in the mean run time of its class."""


class Throughput:
    """Work and run time of runs (microseconds), with exponential decay of older runs.

    A run during a warm-up is added with the run time that a warmed-up worker would have taken.
    """

    def __init__(self) -> None:
        """There are no runs yet."""
        self.work = 0.0
        self.elapsed = 0.0

    def add(self, work: float, elapsed: float, decay: float) -> None:
        """Add a run; `decay` is the factor by which the weight of earlier runs is reduced."""
        self.work = self.work * decay + work
        self.elapsed = self.elapsed * decay + elapsed

    def speed(self) -> float:
        """Return the work per run time; 1 without runs."""
        return self.work / self.elapsed if self.elapsed else 1.0

    def blended_speed(self, other: "Throughput", share: float, prior: float) -> float:
        """Return the speed of these runs, weighted by `share`, and of `prior` microseconds at the speed of `other`."""
        return (self.work * share + prior * other.speed()) / (self.elapsed * share + prior)


class StartDelays:
    """Mean delay from a send to the reported start (microseconds), by the slots in flight at the worker before it.

    Only the slots of this dispatcher's requests count.
    """

    def __init__(self) -> None:
        """There are no starts yet."""
        self.by_in_flight: dict[int, tuple[float, int]] = {}
        """The mean delay and the time of the last reported start, by slots in flight."""

    def add(self, in_flight: int, delay: float, weight: float, now: int) -> None:
        """Add a start; `weight` is its weight in the moving average."""
        old, _ = self.by_in_flight.get(in_flight, (0.0, 0))
        self.by_in_flight[in_flight] = old + (delay - old) * weight, now

    def expected(self, in_flight: int, factor: float, now: int) -> float:
        """Return `factor` times the mean delay, falling linearly to 0 as its last report ages to FORGET_AFTER_US."""
        delay, reported_at = self.by_in_flight.get(in_flight, (0.0, 0))
        return factor * delay * max(1 - (now - reported_at) / FORGET_AFTER_US, 0.0)


class ClassRuns:
    """Moving average of the run time of each request class (microseconds), used for requests without a work hint."""

    def __init__(self) -> None:
        """There are no runs yet."""
        self.mean_of: dict[str, float] = {}

    def add(self, class_name: str, elapsed: float) -> None:
        """Add a run of a request of the class."""
        mean = self.mean_of.get(class_name, elapsed)
        self.mean_of[class_name] = mean + (elapsed - mean) * RUN_WEIGHT

    def expected(self, class_name: str) -> int:
        """Return the mean run time (microseconds); 0 if no run of the class is known."""
        return int(self.mean_of.get(class_name, 0))
