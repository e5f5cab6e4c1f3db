"""A virtual leader whose processor limits its starts, with members that refuse.

For tests of admission in simulated time: reading a job and starting a task take
processor time, and everything else waits meanwhile.
"""

from collections import deque
from dataclasses import dataclass

from cassiaturn.entities import Route
from cassiaturn.sharing import (
    Lateness,
    LoadShedder,
    StartBacklog,
    StartDemand,
    StartRate,
    is_in_shed_share,
    is_shed,
)
from cassiaturn.standins.virtual_targets import VirtualLeader
from cassiaturn.workload import (
    StartCounts,
    StartOrder,
    WorkloadSettings,
    dispatch,
    tick,
)

READ_S = 0.0001
"""Processor time for reading a job and answering it, in seconds."""

TICK_S = 0.05

HEARTBEAT_S = 0.15

ROUNDING_S = 1e-9


@dataclass(frozen=True, slots=True, kw_only=True)
class _Arrival:
    job_id: str
    count: int
    run_s: float
    route: Route
    limit_s: float
    at: float


class SlowLeader(VirtualLeader):
    """A leader that can make a limited number of starts a second."""

    def __init__(
        self, *, admission: str, starts_per_s: float, priorities: tuple[int, ...]
    ) -> None:
        """Start idle.

        :param admission: name of the policy.
        :param starts_per_s: starts that its processor can make if it does nothing else.
        :param priorities: of all routes.
        """
        self._start_s = 1.0 / starts_per_s
        self._priorities = priorities
        self._inbox: deque[_Arrival] = deque()
        self._busy_until = 0.0
        self._used_s = 0.0
        self._turn_is_due = False
        self._timer_is_due = False
        self._forecasts = admission == "forecast"
        self._rate = StartRate(cpu_cores=1.0)
        self._backlog = StartBacklog()
        self._demand = StartDemand()
        self._shedder = LoadShedder()
        self._known_shares: dict[int, float] = {}
        self._known_share = 0.0
        self._sampled = (0.0, 0.0)
        self._timer_at = 0.0
        self.shed: dict[str, float] = {}
        """When members refused jobs on the leader's behalf, by job id, in seconds."""

        super().__init__(settings=WorkloadSettings(admission=admission, cpu_cores=1.0))
        self.auto_dispatch = False
        self.later(HEARTBEAT_S, self._tell_shares)

    def start(self, order: StartOrder) -> None:
        """Spend the processor time of a start, and deliver the order after it."""
        self._spend(self._start_s)
        self.later(
            self._busy_until - self.now, lambda: VirtualLeader.start(self, order)
        )

    def arrive(
        self, job_id: str, *, count: int, run_s: float, route: Route, limit_s: float
    ) -> None:
        """Submit a job through a member."""
        if self._forecasts and self._known_shares:
            share = self._known_shares.get(route.priority, 0.0)
            is_refused = is_in_shed_share(job_id, share)
        else:
            is_refused = is_shed(
                job_id,
                share=self._known_share,
                priority=route.priority,
                priorities=self._priorities,
            )
        if is_refused:
            self.shed[job_id] = self.now
            return
        self._inbox.append(
            _Arrival(
                job_id=job_id,
                count=count,
                run_s=run_s,
                route=route,
                limit_s=limit_s,
                at=self.now,
            )
        )
        self._dispatch()

    def _spend(self, cpu_s: float) -> None:
        self._used_s += cpu_s
        self._busy_until = max(self._busy_until, self.now) + cpu_s

    def _dispatch(self) -> None:
        if not getattr(self, "_turn_is_due", True):
            self._turn_is_due = True
            self.later(max(0.0, self._busy_until - self.now), self._turn)

    def _turn(self) -> None:
        """Read what has arrived, then start some tasks: a turn of an event loop."""
        if self.now + ROUNDING_S < self._busy_until:
            self.later(self._busy_until - self.now, self._turn)
            return
        self._turn_is_due = False
        if self._timer_is_due:
            self._tick()
        while self._inbox:
            job = self._inbox.popleft()
            self._spend(READ_S)
            if self._forecasts:
                self._demand.note(
                    job.job_id,
                    priority=job.route.priority,
                    starts=job.count,
                    now=self.now,
                )
            self.submit(
                job.job_id,
                count=job.count,
                run_s=job.run_s,
                route=job.route,
                limit_s=job.limit_s,
                waited_s=self.now - job.at,
                cpu=8_000,
            )
        if self._note_pass(dispatch(self.tables, self, self.now)) or self._inbox:
            self._dispatch()

    def _note_pass(self, left: Lateness | None) -> bool:
        """Note what a pass over the queue left; return whether it left any job."""
        self._backlog.note_pass(
            left=left, waited_share=self.tables.left_waited_share, now=self.now
        )
        return left is not None

    def _tick(self) -> None:
        if self.now + ROUNDING_S < self._busy_until:
            # The turn that follows runs the timer first.
            self._timer_is_due = True
            self._dispatch()
            return
        self._timer_is_due = False
        late_s = self.now - self._timer_at if self._timer_at else 0.0
        at, used_s = self._sampled
        counts, self.tables.start_counts = self.tables.start_counts, StartCounts()
        self._rate.observe(
            cpu_s=self._used_s - used_s,
            starts=counts.starts,
            elapsed_s=self.now - at,
        )
        self._backlog.observe(
            starts=counts.starts,
            elapsed_s=self.now - at,
            now=self.now,
        )
        self._sampled = (self.now, self._used_s)
        if self.tables.forecast is not None:
            self._demand.update(self._backlog, self.now)
            possible_per_s = self._backlog.possible_per_s(self._rate.starts_per_s)
            self.tables.forecast.starts_per_s = possible_per_s
        self._shedder.observe(0.0 if self._demand.shares else late_s, self.now)
        if self._note_pass(tick(self.tables, self, self.now)):
            self._dispatch()
        for name, row in self.tables.targets_by_id.items():
            if row.runs_by_ref and round(self.now / TICK_S) % 3 == 0:
                self.request_list(name)
        self._timer_at = self.now + TICK_S
        self.later(TICK_S, self._tick)

    def _tell_shares(self) -> None:
        self._known_shares = dict(self._demand.shares)
        self._known_share = self._shedder.share
        self.later(HEARTBEAT_S, self._tell_shares)
