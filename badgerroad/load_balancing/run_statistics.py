"""Statistics of runs and their starts: throughput, fading, and start delays. They choose nothing."""

FORGET_AFTER_US = 4_000_000
"""What one worker showed is forgotten after this."""
RUN_WEIGHT = 0.1
"""Weight of the newest run in the mean run time of its class."""


class Throughput:
    """Work done warm per run time (both microseconds), the older the less it counts."""

    def __init__(self) -> None:
        """No run is known."""
        self.work = 0.0
        self.elapsed = 0.0

    def add(self, work: float, elapsed: float, fade: float) -> None:
        """Count a run; `fade`: the part of the older runs' weight that stays."""
        self.work = self.work * fade + work
        self.elapsed = self.elapsed * fade + elapsed

    def speed(self) -> float:
        """Work per run time; 1 while no run is known."""
        return self.work / self.elapsed if self.elapsed else 1.0

    def blended_speed(self, other: "Throughput", share: float, prior: float) -> float:
        """The speed of `share` of these runs, and of `prior` microseconds at the other's speed."""
        return (self.work * share + prior * other.speed()) / (self.elapsed * share + prior)


class StartDelays:
    """How long after the send starts were reported (microseconds), by own slots in flight at the worker then."""

    def __init__(self) -> None:
        """No start is known."""
        self.by_in_flight: dict[int, tuple[float, int]] = {}
        """The delay, and when one was last reported."""

    def add(self, in_flight: int, delay: float, weight: float, now: int) -> None:
        """Count a start; `weight`: the part of the new mean that it makes."""
        old, _ = self.by_in_flight.get(in_flight, (0.0, 0))
        self.by_in_flight[in_flight] = old + (delay - old) * weight, now

    def expected(self, in_flight: int, factor: float, now: int) -> float:
        """`factor` times the delay, the less the longer ago it was reported."""
        delay, reported_at = self.by_in_flight.get(in_flight, (0.0, 0))
        return factor * delay * max(1 - (now - reported_at) / FORGET_AFTER_US, 0.0)


class ClassRuns:
    """How long the requests of each class ran of late (microseconds): what one without a hint is expected to take."""

    def __init__(self) -> None:
        """No run is known."""
        self.mean_of: dict[str, float] = {}

    def add(self, class_name: str, elapsed: float) -> None:
        """Count a run of a request of the class."""
        mean = self.mean_of.get(class_name, elapsed)
        self.mean_of[class_name] = mean + (elapsed - mean) * RUN_WEIGHT

    def expected(self, class_name: str) -> int:
        """The mean run time (microseconds); 0 where no run is known."""
        return int(self.mean_of.get(class_name, 0))
