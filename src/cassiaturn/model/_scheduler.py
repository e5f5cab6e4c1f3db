"""Drives the real tables through random orders of events, in virtual time."""

import random
from collections.abc import Callable, Sequence

from cassiaturn.entities import Answer
from cassiaturn.model._checks import Checks, Finding
from cassiaturn.model._fakes import (
    LEASE_S,
    FakeRun,
    FakeStart,
    FakeStore,
    FakeTarget,
    Reply,
    StartReply,
)
from cassiaturn.model._jobs import Request
from cassiaturn.model._process import Process
from cassiaturn.model._state import Rules
from cassiaturn.model._store_calls import insert_takeovers, write_claims
from cassiaturn.recovery import HoldState, RunStatus
from cassiaturn.submission import InvariantError, instance_of, new_incarnation

_LOSS = 0.15
_FORWARD_FAILS = 0.3
_MESSAGE_LOST = 0.1


class ConstantBits(random.Random):
    """Draws the same bits every time; claims then have one token a process."""

    def getrandbits(self, k: int, /) -> int:
        """Return one."""
        return 1


class Schedule:
    """One seeded run: a few processes, targets and callers, and many faults."""

    def __init__(
        self,
        *,
        seed: int,
        rules: Rules,
        instances: int = 3,
        targets: int = 3,
    ) -> None:
        self._rng = random.Random(seed)
        self._rules = rules
        self._now = 100.0
        self._checks = Checks(seed=seed)
        self._store = FakeStore(rules=rules, rng=self._rng, loss=_LOSS)
        self._targets_by_id = {
            f"target-{number}": FakeTarget(target_id=f"target-{number}", rules=rules)
            for number in range(targets)
        }
        self._pending: list[Callable[[], None]] = []
        self._requests: list[Request] = []
        self._cut_until_by_target: dict[str, float] = {}
        self._boots = 0
        self._processes_by_id: dict[str, Process] = {}
        for number in range(instances):
            self._boot(f"osu-{number}")

    def run(self, steps: int) -> Finding:
        """Let events happen until the steps are done or a promise breaks."""
        events: Sequence[tuple[int, Callable[[], None]]] = (
            (10, self._deliver),
            (10, self._act),
            (4, self._submit),
            (2, self._end_run),
            (1, self._fault),
            (1, self._store.apply_late_write),
        )
        weights = [weight for weight, _ in events]
        for _ in range(steps):
            self._now += self._rng.uniform(0.0, 0.2)
            self._lapse()
            event = self._rng.choices(events, weights)[0][1]
            try:
                event()
            except InvariantError as error:
                self._checks.break_promise(f"invariant: {error}", self._now)
            if self._checks.finding.broken is not None:
                break
        return self._checks.finding

    def say(self, answer: Answer) -> None:
        """Tell a caller an answer."""
        self._checks.note_answer(answer, self._now)

    def send_start(self, start: FakeStart) -> None:
        """Put a start on its way to some target."""
        target = self._rng.choice(list(self._targets_by_id.values()))
        self._pending.append(lambda: self._start_arrives(target, start))

    def forward(self, request: Request, home: str) -> bool:
        """Pass a request on to an incarnation that seems to live."""
        process = self._living(home)
        if process is None or self._now < process.paused_until:
            return False
        if self._rng.random() < _FORWARD_FAILS:
            return False
        self._pending.append(lambda: self._arrive(process, request))
        return True

    def _arrive(self, process: Process, request: Request) -> None:
        if process.alive:
            process.submit(request, self._now)

    def _start_arrives(self, target: FakeTarget, start: FakeStart) -> None:
        if not target.alive:
            return
        if self._is_cut(target):
            self._pending.append(lambda: self._start_arrives(target, start))
            return
        reply = target.start(start, self._now)
        where = f"{start.key} of {start.home} at {target.target_id}"
        self._note(f"{where}: {reply.value}")
        if reply is StartReply.BEGUN:
            self._checks.note_begin(start, self._targets_by_id.values(), self._now)
        elif reply is StartReply.DENIED:
            self._pending.append(lambda: self._deny(start))

    def _deny(self, start: FakeStart) -> None:
        process = self._living(start.home)
        if process is not None:
            process.denied(start)

    def _deliver(self) -> None:
        if not self._pending:
            return
        arrive = self._pending.pop(self._rng.randrange(len(self._pending)))
        if self._rng.random() >= _MESSAGE_LOST:
            arrive()

    def _act(self) -> None:
        process = self._rng.choice(list(self._processes_by_id.values()))
        if not process.alive or self._now < process.paused_until:
            return
        process.pauses.tick(self._now)
        if process.pauses.must_read:
            self._read_own_row(process)
        if not process.alive:
            return
        write_claims(process, self._store, self._now)
        self._take_over(process)
        process.recover(self._now)
        if self._rng.random() < 0.1:
            process.refuse_one(self._now, binding=self._rules.not_run_binding)
        process.send_one(self._now)
        process.table.expire(self._now)

    def _read_own_row(self, process: Process) -> None:
        row = self._store.takeover_of(process.incarnation)
        if row is Reply.LOST:
            process.pauses.store_unreachable()
            return
        state = process.pauses.own_row_read(present=row is not None)
        if state is HoldState.SUPERSEDED:
            self._note(f"{process.incarnation} knows that it is succeeded")
            self._restart(process)

    def _take_over(self, process: Process) -> None:
        for row in insert_takeovers(process, self._store):
            self._note(f"{row.successor} succeeds {row.dead}")
        for due in process.takeovers.fences_due(self._now):
            target = self._targets_by_id[due.target_id]
            lost = self._rng.random() < _MESSAGE_LOST
            if not target.alive or self._is_cut(target) or lost:
                process.takeovers.fence_failed(due.dead, due.target_id, self._now)
            else:
                report = target.fence(due.dead)
                process.takeovers.fenced(due.dead, report, self._now)

    def _submit(self) -> None:
        living = [one for one in self._processes_by_id.values() if one.alive]
        if self._requests and self._rng.random() < 0.7:
            request = self._rng.choice(self._requests[-5:])
        else:
            request = self._new_request(self._rng.choice(living))
            self._requests.append(request)
            self._checks.note_request(request)
        process = self._rng.choice(living)
        self._note(f"{request.submission_id} submitted to {process.incarnation}")
        self._pending.append(lambda: self._arrive(process, request))

    def _new_request(self, process: Process) -> Request:
        if self._rng.random() < 0.6:
            submission_id = process.issuer.issue(self._now)
        else:
            submission_id = f"order-{len(self._requests)}"
        return Request(
            submission_id=submission_id,
            tasks=self._rng.randint(1, 3),
            repeatable=self._rng.random() < 0.5,
        )

    def _end_run(self) -> None:
        ended = [
            (target, run)
            for target in self._targets_by_id.values()
            for run in target.running()
        ]
        if not ended:
            return
        target, run = self._rng.choice(ended)
        run.status = RunStatus.DONE
        self._pending.append(lambda: self._tell_end(target, run))

    def _tell_end(self, target: FakeTarget, run: FakeRun) -> None:
        process = self._living(run.start.home)
        if process is None or not target.alive or self._now < process.paused_until:
            return
        if self._is_cut(target):
            self._pending.append(lambda: self._tell_end(target, run))
            return
        if not process.ended(run.start, run.status, self._now):
            return
        if run.status is RunStatus.DONE and self._rng.random() < 0.3:
            target.forget(run.start.key)

    def _lapse(self) -> None:
        for target in self._targets_by_id.values():
            for run in target.running():
                home = self._living(run.start.home)
                if home is not None and self._now >= home.paused_until:
                    run.lease_until = self._now + LEASE_S
                elif self._now >= run.lease_until:
                    self._end_lease(target, run)

    def _end_lease(self, target: FakeTarget, run: FakeRun) -> None:
        run.status = RunStatus.LEASE_LAPSED
        self._pending.append(lambda: self._tell_end(target, run))

    def _fault(self) -> None:
        kind = self._rng.random()
        process = self._rng.choice(list(self._processes_by_id.values()))
        if kind < 0.4:
            process.paused_until = self._now + self._rng.uniform(0.5, 12.0)
            self._note(f"{process.incarnation} pauses")
        elif kind < 0.8:
            self._note(f"{process.incarnation} dies")
            self._restart(process)
        elif kind < 0.9:
            target_id = self._rng.choice(list(self._targets_by_id))
            until = self._now + self._rng.uniform(1.0, 20.0)
            self._cut_until_by_target[target_id] = until
            self._note(f"{target_id} is cut off")
        elif kind < 0.95:
            self._lose_target()

    def _is_cut(self, target: FakeTarget) -> bool:
        return self._now < self._cut_until_by_target.get(target.target_id, 0.0)

    def _lose_target(self) -> None:
        target = self._rng.choice(list(self._targets_by_id.values()))
        target.alive = False
        self._note(f"{target.target_id} dies")
        for process in self._processes_by_id.values():
            process.takeovers.target_gone(target.target_id)

    def _restart(self, process: Process) -> None:
        process.alive = False
        self._boot(instance_of(process.incarnation))
        for other in self._processes_by_id.values():
            other.takeovers.incarnation_ended(process.incarnation, self._now)

    def _boot(self, instance_id: str) -> None:
        self._boots += 1
        incarnation = new_incarnation(
            instance_id=instance_id, boot_ms=self._boots, rng=self._rng
        )
        token_rng = self._rng if self._rules.claim_token else ConstantBits()
        process = Process(
            incarnation=incarnation,
            world=self,
            rng=self._rng,
            claim_rng=token_rng,
            target_ids=list(self._targets_by_id),
            resumes_unbegun=not self._rules.unbegun_not_resumed,
        )
        for target in self._targets_by_id.values():
            if not target.alive:
                process.takeovers.target_gone(target.target_id)
        self._processes_by_id[instance_id] = process

    def _living(self, incarnation: str) -> Process | None:
        process = self._processes_by_id[instance_of(incarnation)]
        same = process.incarnation == incarnation
        return process if same and process.alive else None

    def _note(self, event: str) -> None:
        self._checks.note(event, self._now)
