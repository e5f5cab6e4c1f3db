"""Simulates the engines of several instances and their targets in virtual time.

The engine is the real one; streams and targets are fakes. Frames have a random
delay, arrive in order within a stream, and are lost when their stream breaks.
Targets use the task table of the runner stand-in, which enforces slots, start-by
times, leases and the rejection of duplicates.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from cassiaturn.engine import (
    EngineSettings,
    Job,
    Ports,
    State,
    Submission,
    TaskRecord,
    Tenant,
    cancel,
    dispatch,
    on_cancel,
    on_peer_gone,
    on_refusal,
    on_result,
    on_spill_outcome,
    on_spilled,
    on_welcome,
    resend,
    submit,
    tick,
)
from cassiaturn.entities import (
    Answer,
    Method,
    RequestClass,
    Resources,
    Schema,
    TaskKey,
)
from cassiaturn.policy import PeerRow, PolicySettings, TargetRow
from cassiaturn.standins import BegunTask, RunStatus, TaskTable
from cassiaturn.submission import SubmissionSettings, SubmissionTable
from cassiaturn.v1 import peer_pb2, runner_pb2

REPEATABLE = "test.Service/Check"
NON_REPEATABLE = "test.Service/Order"
TICK_S = 0.02
SLOTS = 4
MIN_DELAY_S = 0.0002
MAX_DELAY_S = 0.004
UNLIMITED = 1 << 30
MS_PER_S = 1000


def method(name: str, *, repeatable: bool) -> Method:
    return Method(
        name=name,
        repeatable=repeatable,
        request_class=RequestClass.NORMAL,
        expected_run_ms=100,
        deadline_ms=20_000,
        resources=Resources(),
    )


SCHEMA = Schema(
    methods_by_name={
        REPEATABLE: method(REPEATABLE, repeatable=True),
        NON_REPEATABLE: method(NON_REPEATABLE, repeatable=False),
    }
)


class VirtualTarget:
    """A target with a task table and a stream to the instance that holds it."""

    def __init__(self, *, fleet: "VirtualFleet", target_id: str, holder: str) -> None:
        self.fleet = fleet
        self.target_id = target_id
        self.holder = holder
        self.table = TaskTable(slots=SLOTS)
        self.stream = 0
        self.connected = False
        self.fails = False

    def connect(self) -> None:
        """Open a new stream and list the tasks that the holder began here."""
        # The runner ignores frames of an earlier stream from here on, so a task
        # that the welcome does not list was not begun.
        self.stream += 1
        self.connected = True
        listed = [t.to_message() for t in self.table.unacknowledged_of(self.holder)]
        state = self.fleet.states_by_id[self.holder]

        def welcome() -> None:
            state.targets_by_id[self.target_id].connected = True
            on_welcome(state, self.target_id, listed, True, self.fleet.now)
            for result in listed:
                on_result(state, self.target_id, result, self.fleet.now)
            dispatch(state, self.fleet.now)

        self.fleet.send(("target", self.target_id), self._guard(welcome))

    def cut(self) -> None:
        """Break the stream; all its frames in transit are lost."""
        self.stream += 1
        self.connected = False
        state = self.fleet.states_by_id[self.holder]
        state.targets_by_id[self.target_id].connected = False

    def receive(self, deliver: Callable[[], None]) -> None:
        """Deliver a frame of the holder unless the stream breaks first."""
        if self.connected:
            self.fleet.send(("holder", self.target_id), self._guard(deliver))

    def start(self, start: runner_pb2.StartTask) -> None:
        begun = self.table.start(start, holder=self.holder, now_ms=self.fleet.now_ms)
        key = TaskKey(start.ref.submission_id, start.ref.index)
        if not isinstance(begun, BegunTask):
            refusal = runner_pb2.StartRefusal(ref=start.ref, reason=int(begun))  # type: ignore[arg-type]
            self._send_to_holder(
                lambda state, now: on_refusal(state, self.target_id, refusal, now)
            )
            return
        self.fleet.starts[key] += 1
        if self.fleet.is_running_elsewhere(key, self):
            self.fleet.overlaps.append(key)
        run_s = self.fleet.rng.uniform(0.02, 0.4) + self.fleet.extra_run_s()
        status = RunStatus.FAILED if self.fails else RunStatus.DONE
        attempt = begun.attempt
        self.fleet.at(run_s, lambda: self.end(key, status, attempt))

    def end(self, key: TaskKey, status: RunStatus, attempt: int) -> None:
        running = self.table.running_by_key.get(key)
        if running is None or running.attempt != attempt:
            return
        result = f"{key.submission_id}/{key.task_index}".encode()
        task = self.table.end(
            key, status=status, now_ms=self.fleet.now_ms, result=result
        )
        if task is not None:
            message = task.to_message()
            self._send_to_holder(
                lambda state, now: on_result(state, self.target_id, message, now)
            )

    def check_leases(self) -> None:
        for task in self.table.lapsed(now_ms=self.fleet.now_ms):
            self.end(task.key, RunStatus.LEASE_LAPSED, task.attempt)

    def _send_to_holder(self, handle: Callable[[State, float], object]) -> None:
        state = self.fleet.states_by_id[self.holder]

        def deliver() -> None:
            handle(state, self.fleet.now)
            dispatch(state, self.fleet.now)

        if self.connected:
            self.fleet.send(("target", self.target_id), self._guard(deliver))

    def _guard(self, deliver: Callable[[], None]) -> Callable[[], None]:
        stream = self.stream

        def arrive() -> None:
            if self.stream == stream:
                deliver()

        return arrive


class VirtualPorts(Ports):
    """Sends the frames of an engine through the virtual fleet."""

    def __init__(self, *, fleet: "VirtualFleet", me: str) -> None:
        self.fleet = fleet
        self.me = me

    def send_start(self, record: TaskRecord, *, within_s: float, lease_ms: int) -> None:
        start = runner_pb2.StartTask(
            ref=ref_of(record.key, record.task.attempt),
            method=record.method.name,
            payload=record.payload,
            home=record.home,
            start_by_ms=self.fleet.now_ms + int(within_s * MS_PER_S),
            lease_ms=lease_ms,
        )
        target = self.fleet.targets_by_id[record.target_id]
        target.receive(lambda: target.start(start))

    def send_cancel(self, target_id: str, key: TaskKey, attempt: int) -> None:
        target = self.fleet.targets_by_id[target_id]
        target.receive(lambda: target.end(key, RunStatus.CANCELLED, attempt))

    def send_renewal(self, target_id: str, key: TaskKey, attempt: int) -> None:
        target = self.fleet.targets_by_id[target_id]
        table = target.table
        target.receive(
            lambda: table.renew(key, attempt=attempt, now_ms=self.fleet.now_ms)
        )

    def acknowledge(self, target_id: str, key: TaskKey, attempt: int) -> None:
        target = self.fleet.targets_by_id[target_id]
        table = target.table
        target.receive(
            lambda: table.acknowledge(key, attempt=attempt, now_ms=self.fleet.now_ms)
        )

    def spill(self, record: TaskRecord, *, within_s: float, job_remaining: int) -> None:
        spilled = peer_pb2.SpilledTask(
            start=runner_pb2.StartTask(
                ref=ref_of(record.key, record.task.attempt),
                method=record.method.name,
                payload=record.payload,
                home=record.home,
            ),
            tenant=record.task.tenant,
            caller=record.task.caller,
            request_class=int(record.task.request_class),
            repeatable=record.method.repeatable,
            start_by_ms=self.fleet.now_ms + int(within_s * MS_PER_S),
            expected_run_ms=100,
            job_remaining=job_remaining,
        )
        self._to_peer(record.peer, lambda s, n: on_spilled(s, self.me, spilled, n))

    def cancel_spill(self, peer: str, key: TaskKey, attempt: int) -> None:
        self._to_peer(peer, lambda s, _: on_cancel(s, key, attempt))

    def return_outcome(self, peer: str, outcome: peer_pb2.SpillOutcome) -> None:
        self._to_peer(peer, lambda s, n: on_spill_outcome(s, self.me, outcome, n))

    def deliver(self, answer: Answer, job: Job | None) -> None:
        self.fleet.answers_by_id.setdefault(answer.submission_id, []).append(answer)

    def superseded(self) -> None:
        raise AssertionError("no target fences in this simulation")

    def _to_peer(self, peer: str, handle: Callable[[State, float], object]) -> None:
        self.fleet.to_peer(self.me, peer, handle)


class VirtualFleet:
    """Engines and targets, driven by a seeded heap of events."""

    def __init__(
        self,
        *,
        seed: int,
        instances: int = 3,
        targets_each: int = 2,
        long_share: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self._long_rng = random.Random(seed)
        self._long_share = long_share
        self.now = 100.0
        self.starts: Counter[TaskKey] = Counter()
        self.overlaps: list[TaskKey] = []
        self.answers_by_id: dict[str, list[Answer]] = {}
        self.jobs_by_id: dict[str, tuple[str, int]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._last_arrival: dict[object, float] = {}
        self._links: dict[frozenset[str], int] = {}
        self._cut: set[frozenset[str]] = set()
        ids = [f"i{number}~1{number:08x}" for number in range(instances)]
        self.states_by_id: Mapping[str, State] = {
            name: self._state(name) for name in ids
        }
        self.targets_by_id: dict[str, VirtualTarget] = {}
        for holder, state in self.states_by_id.items():
            for number in range(targets_each):
                self._add_target(f"{holder}-{number}", holder, state)
            self._add_peers(holder, state, ids)
        self._schedule_ticks()

    @property
    def now_ms(self) -> int:
        return int(self.now * MS_PER_S)

    def at(self, delay_s: float, event: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay_s, self._sequence, event))

    def send(self, stream: object, deliver: Callable[[], None]) -> None:
        """Deliver after a random delay, in order within a stream."""
        arrival = self.now + self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
        arrival = max(arrival, self._last_arrival.get(stream, 0.0))
        self._last_arrival[stream] = arrival
        self.at(arrival - self.now, deliver)

    def extra_run_s(self) -> float:
        """Return the additional run time of a long task, else 0, in seconds."""
        is_long = self._long_rng.random() < self._long_share
        return self._long_rng.uniform(1.0, 4.0) if is_long else 0.0

    def is_running_elsewhere(self, key: TaskKey, here: VirtualTarget) -> bool:
        """Return whether a target other than ``here`` runs a task now."""
        others = [t for t in self.targets_by_id.values() if t is not here]
        return any(key in target.table.running_by_key for target in others)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end

    def submit(self, home: str, name: str, tasks: int) -> None:
        submission_id = f"own-{len(self.jobs_by_id)}"
        self.jobs_by_id[submission_id] = (name, tasks)
        submission = Submission(
            submission_id=submission_id,
            tenant="tenant",
            caller="caller",
            method=name,
            payloads=[b"x"] * tasks,
            deadline_s=20.0,
        )
        state = self.states_by_id[home]
        submit(state, submission, self.now)
        dispatch(state, self.now)

    def cancel_one(self) -> None:
        """Cancel a random job that is not settled, at its home."""
        homes = [state for state in self.states_by_id.values() if state.jobs_by_id]
        if homes:
            state = self.rng.choice(homes)
            cancel(state, self.rng.choice(list(state.jobs_by_id)), self.now)

    def to_peer(
        self, sender: str, peer: str, handle: Callable[[State, float], object]
    ) -> None:
        pair = frozenset((sender, peer))
        if pair in self._cut:
            return
        epoch = self._links.get(pair, 0)
        state = self.states_by_id[peer]

        def arrive() -> None:
            if self._links.get(pair, 0) == epoch and pair not in self._cut:
                handle(state, self.now)
                dispatch(state, self.now)

        self.send((sender, peer), arrive)

    def cut_link(self, one: str, other: str) -> None:
        """Break a link; all its frames in transit are lost."""
        pair = frozenset((one, other))
        self._cut.add(pair)
        self._links[pair] = self._links.get(pair, 0) + 1

    def restore_link(self, one: str, other: str) -> None:
        """Restore a link; both sides resend what may have been lost."""
        self._cut.discard(frozenset((one, other)))
        resend(self.states_by_id[one], other)
        resend(self.states_by_id[other], one)

    def declare_gone(self, one: str, other: str) -> None:
        """Let each side of a broken link declare the other gone."""
        on_peer_gone(self.states_by_id[one], other, self.now)
        on_peer_gone(self.states_by_id[other], one, self.now)

    def _schedule_ticks(self) -> None:
        def run_ticks() -> None:
            for target in self.targets_by_id.values():
                target.check_leases()
            for me, state in self.states_by_id.items():
                self._report(me, state)
                tick(state, self.now)
            self.at(TICK_S, run_ticks)

        self.at(0.0, run_ticks)

    def _report(self, me: str, state: State) -> None:
        # Replaces the load reports that frames and heartbeats carry.
        for other, peer in self.states_by_id.items():
            row = peer.peers_by_incarnation.get(me)
            if other == me or row is None or frozenset((me, other)) in self._cut:
                continue
            row.apply_report(
                free_slots=state.free_slots(),
                queued=len(state.queue),
                expected_wait_s=0.0,
                now=self.now,
            )

    def _state(self, me: str) -> State:
        state = State(
            settings=EngineSettings(
                incarnation=me,
                instance_id=me.partition("~")[0],
                failure_domain="osu",
                lease_s=1.0,
                start_within_s=0.5,
                spill_within_s=0.5,
                peer_silence_s=1.0,
                peer_gone_s=1.0,
                result_kept_s=1.0,
            ),
            policy=PolicySettings(),
            schema=SCHEMA,
            submissions=SubmissionTable(incarnation=me, settings=SubmissionSettings()),
            ports=VirtualPorts(fleet=self, me=me),
        )
        state.tenants_by_name = {
            "tenant": Tenant(name="tenant", weight=1, quota_slots=0)
        }
        return state

    def _add_target(self, target_id: str, holder: str, state: State) -> None:
        target = VirtualTarget(fleet=self, target_id=target_id, holder=holder)
        target.connected = True
        self.targets_by_id[target_id] = target
        state.targets_by_id[target_id] = TargetRow(
            target_id=target_id,
            failure_domain="osu",
            worker=target_id,
            slots=SLOTS,
            connections=64,
            capacity=Resources(
                cpu_millis=UNLIMITED, memory_mib=UNLIMITED, accelerators=UNLIMITED
            ),
        )
        state.health.add(target_id, SLOTS)

    def _add_peers(self, me: str, state: State, ids: Sequence[str]) -> None:
        for other in ids:
            if other != me:
                state.peers_by_incarnation[other] = PeerRow(
                    instance_id=other,
                    incarnation=other,
                    failure_domain="osu",
                    free_slots=0,
                    queued=0,
                    expected_wait_s=0.0,
                    reported_at=self.now,
                    ready=True,
                    slots=SLOTS,
                )


def ref_of(key: TaskKey, attempt: int) -> runner_pb2.TaskRef:
    return runner_pb2.TaskRef(
        submission_id=key.submission_id, index=key.task_index, attempt=attempt
    )
