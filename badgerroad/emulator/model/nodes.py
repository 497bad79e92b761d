"""Simulation of a render node: a FIFO queue, job slots that share cores, and injected faults.

All running jobs of a node progress at the same rate (processor sharing). The node therefore keeps a single work
counter (`_work_counter`, in microseconds at speed 1): a job that starts at counter value c with work w ends at c + w.
A change of the rate (job start or end, slowdown, warm-up) moves only the time of the next job end, so its cost does
not depend on the number of running jobs.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush

from badgerroad.emulator.model.jobs import Job, Profile
from badgerroad.emulator.model.kernel import SEC, Draws, Kernel, ScheduledCall

WARM_UP_STEP_US = 100_000  # interval between recomputations of the capacity of a node that is warming up
# A node that responds again after a silence drops job events older than this, as a node sends an event up to ten times.
JOB_EVENT_MAX_AGE_US = 10 * SEC
# Results of `RenderNode.submit`.
ACCEPTED, FULL, ERROR, SILENT, REFUSED = "accepted", "full", "error", "silent", "refused"
# States in job events.
STARTED, RUNNING, DONE, FAILED, RETURNED, LOST = "started", "running", "done", "failed", "returned", "lost"


OnJobEvent = Callable[["RenderNode", Job, str, float], None]


class RenderNode:
    """A simulated render node.

    `on_job_event(node, job, state, share)` is called for each job event. `on_collapse(node, sent)` is called when the
    node collapses during warm-up; `sent` lists (dispatcher, work) of the jobs received in the overload window.
    `on_state_change(node, state)` is called when the node starts ("ready"), drains ("draining") or ends ("gone").
    """

    def __init__(
        self,
        kernel: Kernel,
        name: str,
        profile: Profile,
        zone: int,
        cell: int,
        machine_type: int,
        draws: Draws,
        on_job_event: OnJobEvent,
        on_collapse: Callable[[RenderNode, list[tuple[int, float]]], None],
        on_state_change: Callable[[RenderNode, str], None],
    ) -> None:
        """`machine_type` is the index of the machine type; the docstring of the class describes the callbacks."""
        self.kernel, self.name, self.profile, self.zone, self.cell, self.machine_type = (
            kernel,
            name,
            profile,
            zone,
            cell,
            machine_type,
        )
        self.draws, self.on_job_event, self.on_collapse, self.on_state_change = (
            draws,
            on_job_event,
            on_collapse,
            on_state_change,
        )
        self.up, self.draining, self.collapsed = True, False, False
        self.started_at = 0  # time of the last start; 0: before the run, fully warm
        self.slowdown, self.cpu_stolen, self.error_share, self.extra_report_delay = 1.0, 0.0, 0.0, 0
        self.connections = 0
        self.queued: deque[Job] = deque()
        self.jobs: dict[str, Job] = {}  # queued and running jobs, by request id
        self.busy_slots, self.used_memory = 0, 0.0  # slots and memory of running jobs
        self._running: list[tuple[float, int, Job]] = []
        self._start_count, self._work_counter, self._updated_at, self._rate = 0, 0.0, kernel.now, 0.0
        self._next_end: ScheduledCall | None = None
        self._pauses, self._silences = 0, 0
        self._unsent_events: list[tuple[int, Job, str, float]] = []
        self._warm_up_arrivals: deque[tuple[int, int, float]] = (
            deque()
        )  # (time, dispatcher, work) received during warm-up
        self.peak_overload_share = 0.0  # highest share of the overload limit reached since the last start
        # Work done and work possible, in core-microseconds at speed 1; index 0: during warm-up, 1: when warm.
        self.work_done, self.work_possible = [0.0, 0.0], [0.0, 0.0]
        self._reports: deque[tuple[int, dict[str, float]]] = deque(maxlen=64)
        self.job_time, self._job_time_updated_at = (
            0.0,
            kernel.now,
        )  # time integral of the number of jobs, for Little's law
        self.completed = 0
        self.residence_time = 0.0  # total time in the node of all jobs that have left it
        if profile.pause_interval and profile.pause_duration:
            kernel.after(draws.exponential(profile.pause_interval), self._start_random_pause)
        self._last_report_number = -1

    # Capacity.

    @property
    def capacity_share(self) -> float:
        """Current share of the full capacity: below 1 during warm-up."""
        p = self.profile
        age = self.kernel.now - self.started_at
        if not self.started_at or age >= p.warm_up_time:
            return 1.0
        return p.initial_capacity + (1 - p.initial_capacity) * age / p.warm_up_time

    def _rate_now(self) -> float:
        p, job_count = self.profile, self.busy_slots + len(self.queued)
        if self._pauses or not self.up or not self.busy_slots:
            return 0.0
        rate = p.speed * self.capacity_share / self.slowdown * (1 - self.cpu_stolen)
        crowding = job_count / p.cores / p.crowding_threshold
        if crowding > 1:
            rate *= 1 - p.crowding_loss * min(crowding - 1, 1.0)
        return rate * min(1.0, p.cores / self.busy_slots)

    def _advance(self) -> None:
        """Update the work counter and the time integrals to the current time."""
        now = self.kernel.now
        self._work_counter += (now - self._updated_at) * self._rate
        self.job_time += (now - self._updated_at) * len(self.jobs)
        warm = self.capacity_share == 1.0
        self.work_done[warm] += (now - self._updated_at) * self._rate * self.busy_slots
        self.work_possible[warm] += (
            (now - self._updated_at) * self.capacity_share * self.profile.cores * self.profile.speed * self.up
        )
        self._updated_at = now

    def _reschedule_end(self) -> None:
        """Recompute the rate after a change and reschedule the next job end."""
        self._advance()
        self._rate = self._rate_now()
        if self._next_end is not None:
            self._next_end.cancel()
            self._next_end = None
        while self._running and self._running[0][2].state != RUNNING:
            heappop(self._running)
        if self._running and self._rate > 0:
            time_left = (self._running[0][0] - self._work_counter) / self._rate
            self._next_end = self.kernel.after(
                int(max(time_left, 0.0)) + 1, self._on_job_end
            )  # rounded up, so that the job is not ended early

    # Jobs.

    def submit(self, job: Job) -> str:
        """Receive a complete attempt and return the response; `SILENT` means that the node sends none."""
        if not self.up:
            return REFUSED
        if self._silences:
            return SILENT
        self._check_overload(job)
        if not self.up:
            return REFUSED  # this job made the node collapse
        p = self.profile
        if self.draining or job.slots > p.slots or p.memory and job.memory > p.memory or len(self.queued) >= p.queue:
            return FULL
        if job.id in self.jobs or self.draws.random() < max(self.error_share, p.error_rate):
            return ERROR
        self._advance()
        job.arrived, job.state = self.kernel.now, "waiting"
        self.jobs[job.id] = job
        self.queued.append(job)
        self._fill()
        return ACCEPTED

    def _fill(self) -> None:
        """Start queued jobs in FIFO order; a job that does not fit blocks those behind it."""
        p = self.profile
        self._advance()
        while self.queued and self.up:
            job = self.queued[0]
            if self.busy_slots + job.slots > p.slots or p.memory and self.used_memory + job.memory > p.memory + 1e-9:
                break
            self.queued.popleft()
            job.state, job.started, job.work_counter_at_start = RUNNING, self.kernel.now, self._work_counter
            job.work_counter_at_end = self._work_counter + job.work
            self._start_count += 1
            heappush(self._running, (job.work_counter_at_end, self._start_count, job))
            self.busy_slots += job.slots
            self.used_memory += job.memory
            self._send_event(job, STARTED, 0.0)
            if p.progress_interval:
                job.ticker = self.kernel.after(p.progress_interval, self._send_progress, job)
        self._reschedule_end()

    def _send_progress(self, job: Job) -> None:
        if job.state != RUNNING:
            return
        if self._rate > 0:  # a paused node sends no progress events
            self._advance()
            self._send_event(
                job, RUNNING, min((self._work_counter - job.work_counter_at_start) / job.work, 1.0) if job.work else 1.0
            )
        job.ticker = self.kernel.after(self.profile.progress_interval, self._send_progress, job)

    def _on_job_end(self) -> None:
        self._next_end = None
        self._advance()
        while self._running and (
            self._running[0][2].state != RUNNING or self._running[0][0] <= self._work_counter + 1e-6
        ):
            job = heappop(self._running)[2]
            if job.state == RUNNING:
                self._release(job, DONE)
                self.completed += 1
                self._send_event(job, DONE, 1.0)
        self._fill()

    def _release(self, job: Job, state: str) -> None:
        """Remove a job and release its slots and memory; every path by which a job leaves the node calls this."""
        self._advance()
        if job.state == RUNNING:
            self.busy_slots -= job.slots
            self.used_memory -= job.memory
        elif job.state == "waiting":
            self.queued.remove(job)
        if job.ticker is not None:
            job.ticker.cancel()
            job.ticker = None
        self.residence_time += self.kernel.now - job.arrived
        job.state = state
        self.jobs.pop(job.id, None)

    def cancel(self, request_id: str, dispatcher: int = -1) -> bool:
        """Cancel a job and return whether it was found; `dispatcher` restricts this to jobs of one dispatcher."""
        job = self.jobs.get(request_id)
        if job is None or not self.up or self._silences or dispatcher not in (-1, job.dispatcher):
            return False
        self._release(job, "cancelled")
        self._fill()
        return True

    def _send_event(self, job: Job, state: str, share: float) -> None:
        if self._silences:
            self._unsent_events.append((self.kernel.now, job, state, share))
        else:
            self.on_job_event(self, job, state, share)

    # Costs besides jobs, and load reports.

    def connect(self) -> bool:
        """Accept a connection, which costs handshake work.

        Returns False if the node is down or its connection limit is reached.
        """
        if not self.up or self.connections >= self.profile.connections:
            return False
        self.connections += 1
        self._charge(self.profile.handshake_work)
        return True

    def disconnect(self) -> None:
        """Close one connection."""
        self.connections = max(self.connections - 1, 0)

    def _charge(self, work: int) -> None:
        """Account for work outside jobs; it delays the running jobs if they occupy all cores."""
        if work and self.busy_slots >= self.profile.cores:
            self._advance()
            self._work_counter -= work / self.busy_slots
            self._reschedule_end()

    def probe(self) -> dict[str, float] | None:
        """Return the load report for a health check, with the configured delay and noise; None: no response."""
        if not self.up or self._silences:
            return None
        self._charge(self.profile.probe_work)
        p, now = self.profile, self.kernel.now
        report_number = now // p.report_period
        if report_number != self._last_report_number:
            self._last_report_number = report_number
            self._reports.append((now, self._load()))
        latest_time = now - p.report_delay - self.extra_report_delay
        load = self._reports[0][1]
        for when, report in self._reports:
            if when <= latest_time:
                load = report
        return {
            name: max(value * (1 + p.report_noise * (2 * self.draws.random() - 1)), 0.0) for name, value in load.items()
        }

    def _load(self) -> dict[str, float]:
        p, age = (
            self.profile,
            max(self.kernel.now - self.started_at, SEC),
        )  # for a node that started before the run, the age counts from the run's start
        return {
            "qps": self.completed / (age / SEC),
            "inflight": float(len(self.jobs)),
            "x0": float(max(p.slots - self.busy_slots, 0)),
            "x1": max((p.memory or p.slots) - self.used_memory, 0.0),
        }

    # Warm-up.

    def _check_overload(self, job: Job) -> None:
        """Collapse if the work received in the last `overload_window` of the warm-up exceeds the node's allowance.

        Rejected work counts too, as the platform's fourth rule requires.
        """
        p, now = self.profile, self.kernel.now
        if not p.overload_multiple or not self.started_at or now - self.started_at >= p.warm_up_time:
            return
        self._warm_up_arrivals.append((now, job.dispatcher, job.total_work))
        while self._warm_up_arrivals[0][0] <= now - p.overload_window:
            self._warm_up_arrivals.popleft()
        # The allowance is in jobs of mean work. Two standard deviations of a Poisson count, plus 2 jobs, are added so
        # that random variation alone does not collapse a node.
        allowed = p.overload_multiple * p.cores * p.speed * self.capacity_share * p.overload_window / p.mean_work
        overload_share = sum(w for _, _, w in self._warm_up_arrivals) / p.mean_work / (allowed + 2 * allowed**0.5 + 2)
        self.peak_overload_share = max(self.peak_overload_share, overload_share)
        if overload_share > 1:
            self.collapsed = True
            sent = [(d, w) for _, d, w in self._warm_up_arrivals]
            self.kill()
            self.on_collapse(self, sent)

    def _warm_up(self, started_at: int) -> None:
        if self.started_at == started_at and self.capacity_share < 1.0:
            self._reschedule_end()
            self.kernel.after(WARM_UP_STEP_US, self._warm_up, started_at)
        elif self.started_at == started_at:
            self._reschedule_end()

    # Process state and faults.

    def start(self, warming_up: bool = True) -> None:
        """Start the process with no jobs. A node that has collapsed stays down."""
        if self.up or self.collapsed:
            return
        self.up, self.draining = True, False
        self.started_at = self.kernel.now if warming_up else 0
        self._warm_up_arrivals.clear()
        self.peak_overload_share = 0.0
        self._updated_at, self._rate, self.connections = self.kernel.now, 0.0, 0
        self.completed, self._last_report_number = 0, -1
        self._reports.clear()
        self._warm_up(self.started_at)
        self.on_state_change(self, "ready")

    def kill(self) -> None:
        """Kill the process: connections break, and the machine's agent reports the jobs as lost."""
        if not self.up:
            return
        self._advance()
        for job in list(self.jobs.values()):
            self._release(job, LOST)
            self._send_event(job, LOST, 0.0)
        self._running.clear()
        self.up, self.connections = False, 0
        self._reschedule_end()
        self.on_state_change(self, "gone")

    def drain(self) -> None:
        """Accept no new jobs and complete the present ones.

        With `returns_on_drain`, queued jobs are returned.
        """
        if not self.up or self.draining:
            return
        self.draining = True
        self.on_state_change(self, "draining")
        if self.profile.returns_on_drain:
            for job in list(self.queued):
                self._release(job, RETURNED)
                self._send_event(job, RETURNED, 0.0)
            self._reschedule_end()

    def silence(self, duration: int) -> None:
        """Stop responding for `duration` microseconds; jobs continue to run.

        After that, the node sends the job events that are younger than JOB_EVENT_MAX_AGE_US.
        """
        self._silences += 1
        self.kernel.after(duration, self._end_silence)

    @property
    def silent(self) -> bool:
        """Whether the node currently does not respond."""
        return self._silences > 0

    def _end_silence(self) -> None:
        self._silences -= 1
        if not self._silences:
            unsent, self._unsent_events = self._unsent_events, []
            for when, job, state, share in unsent:
                if when > self.kernel.now - JOB_EVENT_MAX_AGE_US:
                    self.on_job_event(self, job, state, share)

    def pause(self, duration: int) -> None:
        """Stop the progress of all jobs for `duration` microseconds."""
        self._pauses += 1
        self._reschedule_end()
        self.kernel.after(duration, self._end_pause)

    def _end_pause(self) -> None:
        self._pauses -= 1
        self._reschedule_end()

    def _start_random_pause(self) -> None:
        p = self.profile
        if self.up:
            self.pause(int(self.draws.exponential(p.pause_duration)))
        self.kernel.after(self.draws.exponential(p.pause_interval), self._start_random_pause)

    def set_faults(
        self,
        slowdown: float | None = None,
        cpu_stolen: float | None = None,
        error_share: float | None = None,
        extra_report_delay: int | None = None,
    ) -> None:
        """Set injected faults; arguments that are None leave the fault as it is.

        `slowdown` divides the speed, `cpu_stolen` is the share of the CPU used by others, `error_share` is the share
        of jobs that fail at once, and `extra_report_delay` (microseconds) makes load reports older.
        """
        self.slowdown = self.slowdown if slowdown is None else slowdown
        self.cpu_stolen = self.cpu_stolen if cpu_stolen is None else cpu_stolen
        self.error_share = self.error_share if error_share is None else error_share
        self.extra_report_delay = self.extra_report_delay if extra_report_delay is None else extra_report_delay
        self._reschedule_end()
