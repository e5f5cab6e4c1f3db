"""The targets that an instance holds: exact counts, health, starts and stops."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from cassiaturn.bench._deployment import CONNECTIONS_PER_TARGET
from cassiaturn.bench._held import Held
from cassiaturn.bench._message import MessageKind
from cassiaturn.bench._modules import Modules
from cassiaturn.bench._runner import FakeRunner, Start
from cassiaturn.bench._world import World
from cassiaturn.entities import Resources
from cassiaturn.policy import (
    HealthState,
    QueuedTask,
    TargetHealth,
    TargetRow,
    choose_target,
)

TASK_RESOURCES = Resources(cpu_millis=1000, memory_mib=512)
WORKER_CAPACITY = Resources(cpu_millis=16_000, memory_mib=64 * 1024)


class TargetEvents(Protocol):
    """What the instance learns from its targets, after their slots are free."""

    def on_ended(self, held: Held, succeeded: bool, run_s: float) -> None:
        """Take in the end of a task and its run time in seconds."""

    def on_refused(self, held: Held) -> None:
        """Take in that a target had no slot."""

    def on_stopped(self, held: Held) -> None:
        """Take in that a task was stopped."""


class OwnTargets:
    """Sends starts to the targets of one instance and counts their slots."""

    def __init__(
        self,
        *,
        world: World,
        modules: Modules,
        failure_domain: str,
        runners: Sequence[FakeRunner],
        events: TargetEvents,
    ) -> None:
        self._world = world
        self._modules = modules
        self._failure_domain = failure_domain
        self._events = events
        self._health = TargetHealth(settings=modules.settings.health)
        self._runners_by_id = {f"target-{runner.index}": runner for runner in runners}
        self._rows_by_id = {
            target_id: self._add(target_id, runner)
            for target_id, runner in self._runners_by_id.items()
        }
        self._rows = list(self._rows_by_id.values())
        self._chosen: TargetRow | None = None

    def free_slots(self) -> int:
        """Return the slots that a task could start in now."""
        return sum(
            max(0, min(row.slots, row.allowance) - row.in_use) for row in self._rows
        )

    def usable_slots(self) -> int:
        """Return the slots that health permits."""
        return sum(min(row.slots, row.allowance) for row in self._rows)

    def fits(self, task: QueuedTask) -> bool:
        """Return whether a target is free for a task, and note which."""
        placement = self._modules.settings.placement
        self._chosen = choose_target(
            task,
            self._rows,
            spare_share_by_class=placement.spare_share_by_class,
        )
        return self._chosen is not None

    def start(self, held: Held) -> None:
        """Send a task to the target that :meth:`fits` found for it last."""
        row = self._chosen
        if row is None:
            raise AssertionError(f"{held.task.key} is started without a target")
        row.take(held.task.resources)
        held.target = row
        now = self._world.loop.now
        self._health.started(row.target_id, held.task.key, held.task.method, now)
        runner = self._runners_by_id[row.target_id]
        self._reach(MessageKind.START, runner, self._start_on_runner, held)

    def stop(self, held: Held, target: TargetRow) -> None:
        """Stop a task that a start was sent for."""
        runner = self._runners_by_id[target.target_id]
        self._reach(MessageKind.CANCEL, runner, self._stop_on_runner, held)

    def update_health(self) -> None:
        """Judge the targets and change what they may run."""
        for change in self._health.tick(self._world.loop.now):
            self._rows_by_id[change.target_id].allowance = change.allowance
            if change.state is HealthState.EJECTED:
                self._world.tally.ejections += 1

    def _add(self, target_id: str, runner: FakeRunner) -> TargetRow:
        self._health.add(target_id, runner.slots)
        return TargetRow(
            target_id=target_id,
            failure_domain=runner.failure_domain,
            worker=target_id,
            slots=runner.slots,
            connections=CONNECTIONS_PER_TARGET,
            capacity=WORKER_CAPACITY,
        )

    def _start_on_runner(self, runner: FakeRunner, held: Held) -> None:
        if held.start.is_over:
            self._leave(runner, MessageKind.RESULT, self._take_stopped, held)
            return

        def on_end(_: FakeRunner, __: Start, succeeded: bool, run_s: float) -> None:
            self._leave(
                runner, MessageKind.RESULT, self._take_end, held, succeeded, run_s
            )

        if not runner.begin(held.start, on_end):
            self._leave(runner, MessageKind.REFUSED_START, self._take_refusal, held)

    def _stop_on_runner(self, runner: FakeRunner, held: Held) -> None:
        if runner.stop(held.start):
            self._leave(runner, MessageKind.RESULT, self._take_stopped, held)

    def _take_end(self, held: Held, succeeded: bool, run_s: float) -> None:
        row = self._release(held)
        task = held.task
        now = self._world.loop.now
        self._health.finished(
            row.target_id, task.key, task.method, run_s, succeeded, now
        )
        self._events.on_ended(held, succeeded, run_s)

    def _take_refusal(self, held: Held) -> None:
        self._forget_start(held)
        self._events.on_refused(held)

    def _take_stopped(self, held: Held) -> None:
        self._forget_start(held)
        self._events.on_stopped(held)

    def _forget_start(self, held: Held) -> None:
        row = self._release(held)
        now = self._world.loop.now
        self._health.refused(row.target_id, None, now, held.task.key)

    def _release(self, held: Held) -> TargetRow:
        row = held.target
        if row is None:
            raise AssertionError(f"{held.task.key} ended and was not started")
        row.give_back(held.task.resources)
        held.target = None
        return row

    def _reach(
        self,
        kind: MessageKind,
        runner: FakeRunner,
        callback: Callable[..., None],
        held: Held,
    ) -> None:
        source, destination = self._failure_domain, runner.failure_domain
        self._world.send(kind, source, destination, callback, runner, held)

    def _leave(
        self,
        runner: FakeRunner,
        kind: MessageKind,
        callback: Callable[..., None],
        *args: Any,
    ) -> None:
        source, destination = runner.failure_domain, self._failure_domain
        self._world.send(kind, source, destination, callback, *args)
