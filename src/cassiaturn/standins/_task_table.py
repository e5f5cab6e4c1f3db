"""The tasks that a runner has begun, and the rules by which it begins them."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

from cassiaturn.entities import Refusal, RunStatus, TaskKey
from cassiaturn.v1 import runner_pb2 as pb

DEFAULT_SLOTS = 8
"""Tasks at once, as on every runner of the first two users."""

DEFAULT_REMEMBERED_TASKS = 200_000
"""Keys kept: about 40 MB, and three hours at 16 starts a second."""

DEFAULT_KEEP_ACKNOWLEDGED_MS = 15 * 60 * 1000
"""How long the key of an acknowledged task is known as begun: longer than a
resubmission can arrive under the same id."""


@dataclass(slots=True, kw_only=True)
class BegunTask:
    """One task that a runner began; kept until it is forgotten."""

    key: TaskKey
    """The task."""

    attempt: int
    """Attempt that was begun last."""

    home: str
    """Incarnation of the home that asked for it."""

    holder: str
    """Incarnation of the instance that sent it, which is told the result."""

    method: str
    """Full method name."""

    payload: bytes
    """Serialized request; empty once it is over."""

    begun_at_ms: int
    """Runner's clock at the start."""

    lease_ms: int
    """Length of the lease, from the start and from each renewal."""

    lease_until_ms: int
    """Runner's clock at which it is stopped unless the lease is renewed."""

    status: RunStatus = RunStatus.RUNNING
    """Running, or how it ended."""

    result: bytes = b""
    """Serialized reply, until it is acknowledged."""

    detail: str = ""
    """Why it failed."""

    ended_at_ms: int = 0
    """Runner's clock at the end."""

    forget_at_ms: int = 0
    """Acknowledged: runner's clock at which the key is forgotten."""

    @property
    def is_running(self) -> bool:
        """Whether it holds a slot."""
        return self.status is RunStatus.RUNNING

    def to_message(self) -> pb.TaskResult:
        """Return what the holder or a successor is told of it."""
        return pb.TaskResult(
            ref=pb.TaskRef(
                submission_id=self.key.submission_id,
                index=self.key.task_index,
                attempt=self.attempt,
            ),
            status=int(self.status),  # type: ignore[arg-type]
            result=self.result,
            detail=self.detail,
            run_ms=max(0, self.ended_at_ms - self.begun_at_ms),
            result_dropped=bool(self.forget_at_ms),
        )


@dataclass(slots=True, kw_only=True)
class TaskTable:
    """Every begun task of one runner by key, with its limits.

    It enforces slots, start-by times, leases, fences and the refusal of
    duplicates. It has no clock; the caller passes the runner's own, in
    milliseconds.
    """

    slots: int = DEFAULT_SLOTS
    """Tasks that may run at once."""

    methods: frozenset[str] = frozenset()
    """Methods served; empty: all."""

    remembered_tasks: int = DEFAULT_REMEMBERED_TASKS
    """Keys kept at most."""

    keep_acknowledged_ms: int = DEFAULT_KEEP_ACKNOWLEDGED_MS
    """How long the key of an acknowledged task is kept."""

    leaving: bool = False
    """Whether new starts are refused because the runner leaves."""

    running_by_key: dict[TaskKey, BegunTask] = field(default_factory=dict)
    """Tasks that hold a slot."""

    over_by_key: OrderedDict[TaskKey, BegunTask] = field(default_factory=OrderedDict)
    """Tasks that ended, oldest first."""

    fenced_homes: set[str] = field(default_factory=set)
    """Homes whose starts are refused."""

    forgotten_homes: set[str] = field(default_factory=set)
    """Homes of which a task was forgotten too early to be sure of the rest."""

    def start(
        self, start: pb.StartTask, *, holder: str, now_ms: int
    ) -> BegunTask | Refusal:
        """Begin a task, or say why not.

        :param start: what the holder sent.
        :param holder: incarnation of the holder.
        :param now_ms: the runner's clock.
        :returns: the begun task, which holds a slot now, or the refusal.
        """
        key = TaskKey(start.ref.submission_id, start.ref.index)
        reason = self._reason_to_refuse(start, key, now_ms)
        if reason is not None:
            return reason
        self.over_by_key.pop(key, None)
        task = BegunTask(
            key=key,
            attempt=start.ref.attempt,
            home=start.home,
            holder=holder,
            method=start.method,
            payload=start.payload,
            begun_at_ms=now_ms,
            lease_ms=start.lease_ms,
            lease_until_ms=now_ms + start.lease_ms,
        )
        self.running_by_key[key] = task
        return task

    def end(
        self,
        key: TaskKey,
        *,
        status: RunStatus,
        now_ms: int,
        result: bytes = b"",
        detail: str = "",
    ) -> BegunTask | None:
        """Note that a running task is over and free its slot.

        :param key: the task.
        :param status: how it ended.
        :param now_ms: the runner's clock.
        :param result: serialized reply.
        :param detail: why it failed.
        :returns: the task, or None where it was not running.
        """
        task = self.running_by_key.pop(key, None)
        if task is None:
            return None
        task.status = status
        task.result = result
        task.detail = detail
        task.payload = b""
        task.ended_at_ms = now_ms
        self.over_by_key[key] = task
        self._forget_beyond_limit()
        return task

    def renew(self, key: TaskKey, *, attempt: int, now_ms: int) -> None:
        """Extend the lease of a running attempt.

        :param key: the task.
        :param attempt: the attempt that the holder means.
        :param now_ms: the runner's clock.
        """
        task = self.running_by_key.get(key)
        if task is not None and task.attempt == attempt:
            task.lease_until_ms = now_ms + task.lease_ms

    def lapsed(self, *, now_ms: int) -> list[BegunTask]:
        """Return the running tasks whose lease is over.

        :param now_ms: the runner's clock.
        """
        running = self.running_by_key.values()
        return [task for task in running if task.lease_until_ms < now_ms]

    def acknowledge(self, key: TaskKey, *, attempt: int, now_ms: int) -> None:
        """Drop the result of an attempt that its holder has; keep the key.

        :param key: the task.
        :param attempt: the attempt whose result was taken.
        :param now_ms: the runner's clock.
        """
        task = self.over_by_key.get(key)
        if task is None or task.attempt != attempt or task.forget_at_ms:
            return
        task.result = b""
        task.forget_at_ms = now_ms + self.keep_acknowledged_ms

    def forget_old(self, *, now_ms: int) -> None:
        """Forget acknowledged tasks that were kept long enough.

        :param now_ms: the runner's clock.
        """
        while self.over_by_key:
            oldest = next(iter(self.over_by_key.values()))
            if not oldest.forget_at_ms or oldest.forget_at_ms > now_ms:
                return
            del self.over_by_key[oldest.key]

    def unacknowledged_of(self, holder: str) -> Iterator[BegunTask]:
        """Yield what a holder that connects again has to be told.

        :param holder: incarnation of the holder.
        """
        for task in self._all_tasks():
            if task.holder == holder and not task.forget_at_ms:
                yield task

    def fence(self, home: str) -> None:
        """Refuse later starts of a home.

        :param home: incarnation that is dead or given up.
        """
        self.fenced_homes.add(home)

    def begun_of(
        self, home: str, *, about: Collection[TaskKey], lease_ms: int, now_ms: int
    ) -> list[BegunTask]:
        """List what a home began here.

        :param home: incarnation of the home.
        :param about: tasks that are asked for; empty: all.
        :param lease_ms: how long its running tasks may go on at least.
        :param now_ms: the runner's clock.
        :returns: every such task that is still known.
        """
        begun = [task for task in self._all_tasks() if task.home == home]
        if about:
            begun = [task for task in begun if task.key in about]
        for task in begun:
            # Nobody renews the leases of a dead home; its successor may want
            # the result of what still runs.
            task.lease_until_ms = max(task.lease_until_ms, now_ms + lease_ms)
        return begun

    def is_exhaustive_for(self, home: str) -> bool:
        """Whether no task of a home was forgotten too early.

        :param home: incarnation of the home.
        """
        return home not in self.forgotten_homes

    def _reason_to_refuse(
        self, start: pb.StartTask, key: TaskKey, now_ms: int
    ) -> Refusal | None:
        if self.methods and start.method not in self.methods:
            return Refusal.UNSUPPORTED
        # A successor has been told what this home began; a start after that
        # would run a task that the successor may have run elsewhere.
        if start.home in self.fenced_homes:
            return Refusal.FENCED
        if self._is_duplicate(key, start.ref.attempt):
            return Refusal.DUPLICATE
        if self.leaving:
            return Refusal.LEAVING
        # A start held up by a pause or a cut may arrive after its home has
        # given the task up. The home waits until this time before it does.
        if now_ms > start.start_by_ms:
            return Refusal.LATE
        if len(self.running_by_key) >= self.slots:
            return Refusal.BUSY
        return None

    def _is_duplicate(self, key: TaskKey, attempt: int) -> bool:
        if key in self.running_by_key:
            return True
        earlier = self.over_by_key.get(key)
        return earlier is not None and attempt <= earlier.attempt

    def _all_tasks(self) -> Iterable[BegunTask]:
        yield from self.running_by_key.values()
        yield from self.over_by_key.values()

    def _forget_beyond_limit(self) -> None:
        while len(self.over_by_key) > self.remembered_tasks:
            _, task = self.over_by_key.popitem(last=False)
            self.forgotten_homes.add(task.home)
