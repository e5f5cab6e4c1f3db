"""Manages the targets that this instance holds and its streams to them."""

import asyncio
import time
from collections.abc import Collection, Iterable

from cassiaturn.engine import State, dispatch, on_refusal, on_result, on_welcome
from cassiaturn.entities import Resources
from cassiaturn.observability import Event, log_event
from cassiaturn.policy import TargetRow
from cassiaturn.settings import TargetSettings
from cassiaturn.targets import RunnerSession, SessionCallbacks
from cassiaturn.v1 import runner_pb2

UNLIMITED_CAPACITY = 1 << 40
"""Capacity assumed for a resource that the settings do not limit."""


class TargetManager:
    """Opens a stream to each held target and closes those of released targets.

    A released target keeps its stream until the last task of this instance there
    has ended, so that a change of holder interrupts no task.
    """

    def __init__(self, *, state: State, holder: str) -> None:
        """Start with no target held.

        :param state: engine state of the instance.
        :param holder: incarnation of the instance.
        """
        self._state = state
        self._holder = holder
        self._settings_by_target: dict[str, TargetSettings] = {}
        self._incarnations_by_target: dict[str, str] = {}
        self._released: set[str] = set()
        self._drained: set[str] = set()
        self._drained_by_configuration: frozenset[str] = frozenset()
        self._drained_domains: frozenset[str] = frozenset()
        self._reported_leaving: set[str] = set()
        self._listed_leaving: set[str] = set()
        self._closing: set[asyncio.Task[None]] = set()
        self.sessions_by_target: dict[str, RunnerSession] = {}

    def update_targets(self, targets: Iterable[TargetSettings]) -> None:
        """Add targets, or replace the settings of known ones."""
        for target in targets:
            self._settings_by_target[target.target_id] = target

    @property
    def settings_by_target(self) -> dict[str, TargetSettings]:
        """Every known target of every failure domain."""
        return self._settings_by_target

    def hold(self, target_ids: Collection[str]) -> None:
        """Hold exactly these targets: open missing sessions and release the others."""
        for target_id in list(self.sessions_by_target):
            if target_id not in target_ids:
                self._release(target_id)
        for target_id in target_ids:
            if target_id in self._released:
                self._released.discard(target_id)
                self._set_leaving(target_id)
            if target_id not in self.sessions_by_target:
                self._open(self._settings_by_target[target_id])

    def drain(self, target_id: str, *, activate: bool) -> None:
        """Stop new starts at a target on an operator's request, or allow them again."""
        if activate:
            self._drained.discard(target_id)
        else:
            self._drained.add(target_id)
        self._set_leaving(target_id)

    def set_drained_by_configuration(
        self, target_ids: Collection[str], failure_domains: Collection[str]
    ) -> None:
        """Replace what the shared configuration drains.

        :param target_ids: single targets.
        :param failure_domains: failure domains with all their targets.
        """
        self._drained_by_configuration = frozenset(target_ids)
        self._drained_domains = frozenset(failure_domains)
        for target_id in self._state.targets_by_id:
            self._set_leaving(target_id)

    def set_listed_leaving(self, target_id: str, *, leaving: bool) -> None:
        """Record whether the platform's host list says that a target's host leaves."""
        if leaving:
            self._listed_leaving.add(target_id)
        else:
            self._listed_leaving.discard(target_id)
        self._set_leaving(target_id)

    def close_idle(self) -> None:
        """Close the streams of released targets with no task of this instance."""
        for target_id in list(self._released):
            row = self._state.targets_by_id.get(target_id)
            if row is None or row.in_use == 0:
                self._released.discard(target_id)
                self._close(target_id)

    async def close(self) -> None:
        """Close every stream."""
        for target_id in list(self.sessions_by_target):
            self._close(target_id)
        if self._closing:
            await asyncio.wait(self._closing)

    def _open(self, settings: TargetSettings) -> None:
        target_id = settings.target_id
        self._state.targets_by_id[target_id] = to_row(settings)
        self._state.health.add(target_id, settings.slots)
        self._set_leaving(target_id)
        session = RunnerSession(
            target_id=target_id,
            address=settings.address,
            holder=self._holder,
            callbacks=SessionCallbacks(
                on_welcome=self._on_welcome,
                on_frame=self._on_frame,
                on_lost=self._on_lost,
            ),
        )
        self.sessions_by_target[target_id] = session
        session.start()

    def _release(self, target_id: str) -> None:
        self._released.add(target_id)
        self._set_leaving(target_id)

    def _close(self, target_id: str) -> None:
        session = self.sessions_by_target.pop(target_id)
        self._state.targets_by_id.pop(target_id, None)
        self._state.health.remove(target_id)
        self._incarnations_by_target.pop(target_id, None)
        task = asyncio.create_task(session.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _set_leaving(self, target_id: str) -> None:
        row = self._state.targets_by_id.get(target_id)
        if row is not None:
            row.leaving = (
                target_id in self._released
                or target_id in self._drained
                or target_id in self._drained_by_configuration
                or self._failure_domain(target_id) in self._drained_domains
                or target_id in self._reported_leaving
                or target_id in self._listed_leaving
            )

    def _failure_domain(self, target_id: str) -> str:
        return self._settings_by_target[target_id].failure_domain

    def _on_welcome(self, target_id: str, welcome: runner_pb2.Welcome) -> None:
        row = self._state.targets_by_id.get(target_id)
        if row is None:
            return
        row.connected = True
        row.slots = welcome.slots
        row.connections = welcome.connections
        self._set_leaving(target_id)

    def _on_frame(self, target_id: str, frame: runner_pb2.FromRunner) -> None:
        now = time.monotonic()
        state = self._state
        if frame.HasField("welcome"):
            known = self._incarnations_by_target.get(target_id)
            fresh = frame.welcome.incarnation
            self._incarnations_by_target[target_id] = fresh
            same = known in (None, fresh)
            on_welcome(state, target_id, frame.results, same, now)
        for result in frame.results:
            on_result(state, target_id, result, now)
        for refusal in frame.refusals:
            on_refusal(state, target_id, refusal, now)
        # False means "not leaving" only in frames that carry a status; a frame
        # with results alone leaves the field unset.
        if frame.leaving or frame.HasField("usage") or frame.HasField("welcome"):
            self._update_reported_leaving(target_id, frame.leaving)
        dispatch(state, now)

    def _update_reported_leaving(self, target_id: str, leaving: bool) -> None:
        if leaving == (target_id in self._reported_leaving):
            return
        if leaving:
            self._reported_leaving.add(target_id)
            log_event(Event.TARGET_LEAVING, target_id=target_id)
        else:
            self._reported_leaving.discard(target_id)
        self._set_leaving(target_id)

    def _on_lost(self, target_id: str) -> None:
        row = self._state.targets_by_id.get(target_id)
        if row is not None:
            row.connected = False


def to_row(settings: TargetSettings) -> TargetRow:
    """Return the engine's row of a target that is not connected yet."""
    resources = settings.resources
    return TargetRow(
        target_id=settings.target_id,
        failure_domain=settings.failure_domain,
        worker=settings.worker,
        slots=settings.slots,
        connections=settings.connections,
        capacity=Resources(
            cpu_millis=resources.cpu_millis or UNLIMITED_CAPACITY,
            memory_mib=resources.memory_mib or UNLIMITED_CAPACITY,
            accelerators=resources.accelerators or UNLIMITED_CAPACITY,
        ),
        methods=None if settings.methods is None else frozenset(settings.methods),
        connected=False,
    )
