"""Runs one instance: starts, drains and closes its parts and background tasks."""

import asyncio
import contextlib
import time
from collections.abc import Coroutine, Sequence

from grpclib._typing import IServable

from cassiaturn.configuration import SharedConfiguration
from cassiaturn.engine import (
    Job,
    Tenant,
    return_peer_tasks,
    share_quotas,
    supersede_all,
    tick,
)
from cassiaturn.entities import Answer
from cassiaturn.membership import (
    MemberChange,
    MemberState,
)
from cassiaturn.observability import Event, Ready, StatusDocument, log_event
from cassiaturn.recovery import (
    HoldState,
)
from cassiaturn.server._caller_service import CallerService, SchemaService
from cassiaturn.server._holders import targets_to_hold
from cassiaturn.server._instance_base import InstanceBase
from cassiaturn.server._operator_service import OperatorService
from cassiaturn.server._peer_service import PeerService
from cassiaturn.server._status import status_of
from cassiaturn.submission import (
    InvariantError,
)
from cassiaturn.transport import ClosingServer

MS_PER_S = 1000

REASONS_NOT_READY = {
    MemberState.STARTING: "no shared configuration yet",
    MemberState.LEAVING: "a planned stop is under way",
}
"""Why an instance accepts no submissions, by its state."""

LEAVING_NOTICE_S = 0.2
"""Time for peers to learn that this instance leaves before its listening port
closes, in seconds."""

OVERLOAD_END_S = 5.0
"""Time without a refusal after which an overload has ended, in seconds."""

CLOSE_TIMEOUT_S = 1.0
"""Longest wait for background tasks, or for open connections, to end, in seconds."""

LAST_ANSWERS_S = 0.1
"""Time to send the last answers before the connections close, in seconds."""

DRAIN_POLL_S = 0.02
"""Interval between checks whether all work has ended, in seconds."""

HOLDERS_PERIOD_S = 1.0
"""Longest time until a changed list of targets is distributed, in seconds."""

QUOTA_PERIOD_S = 0.5
"""Interval between recalculations of this instance's share of each tenant's quota,
in seconds; twice per heartbeat."""


class Instance(InstanceBase):
    """An instance of the dispatcher; call :meth:`start`, later :meth:`stop`."""

    async def start(self) -> None:
        """Open the listening port and begin to serve.

        :raises OSError: the port is in use or may not be opened.
        """
        handlers: list[IServable] = [
            CallerService(router=self.router),
            SchemaService(
                router=self.router, methods=self.state.schema.methods_by_name
            ),
            PeerService(
                router=self.router,
                peers=self.peers,
                configuration=self.configuration_json,
            ),
            OperatorService(instance=self),
        ]
        listen = self.settings.listen
        self._server = ClosingServer(handlers)
        await self._server.start(listen.host, listen.port)
        log_event(Event.LISTENING, address=listen, incarnation=self.incarnation)
        self.configuration.load_initial()
        for job in (self._run_ticks(), self.claims.run(), self.configuration.run()):
            self._run(job)
        self._run(self.offloader.run())
        self._run(self.host_list.run())
        self._run(self.reclaimer.run())
        self._run(self.claims.delete_old())

    async def stop(self) -> None:
        """Stop gracefully: announce it to the peers, drain, then close."""
        await self.drain()
        await self.close()

    async def drain(self) -> None:
        """Accept nothing new and wait until everything in flight has ended.

        The wait is limited by the drain timeout of the settings.
        """
        log_event(Event.INSTANCE_DRAINING, incarnation=self.incarnation)
        reason = REASONS_NOT_READY[MemberState.LEAVING]
        log_event(Event.INSTANCE_NOT_READY, reason=reason)
        self.state.draining = True
        return_peer_tasks(self.state, time.monotonic())
        self.member_state = MemberState.LEAVING
        self._holders_due_at = 0.0
        self.peers.announce()
        limit_s = self.settings.timings.drain_timeout_ms / MS_PER_S
        give_up_at = time.monotonic() + limit_s
        await asyncio.sleep(LEAVING_NOTICE_S)
        while self._has_open_work() and time.monotonic() < give_up_at:  # noqa: ASYNC110
            # Several tables have to be empty at once, so no single event signals it.
            await asyncio.sleep(DRAIN_POLL_S)
        await asyncio.sleep(LAST_ANSWERS_S)
        if self._has_open_work():
            log_event(Event.DRAIN_TIMED_OUT, open=len(self.state.jobs_by_id))

    async def close(self) -> None:
        """Close every stream, connection and port without draining."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        await self.peers.close()
        await self.targets.close()
        self.platform.close()
        if self._server is not None:
            self._server.end_connections()
            # Callers keep idle connections open; without a timeout, the wait would
            # last until the last caller closes its connection.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._server.wait_closed()

    def ready(self) -> Ready:
        """Return whether new submissions are accepted, and the reason if not."""
        if self.member_state is MemberState.READY:
            return Ready(ready=True)
        return Ready(ready=False, reason=REASONS_NOT_READY[self.member_state])

    def status(self) -> StatusDocument:
        """Return the status document of this instance."""
        return status_of(self)

    async def _run_ticks(self) -> None:
        period_s = self.settings.timings.tick_ms / MS_PER_S
        while True:
            now = time.monotonic()
            self._check_pause(now)
            self.peers.tick(now)
            self._hold_targets()
            self._share_quotas(now)
            tick(self.state, now)
            self._log_health()
            self._log_overload(now)
            self.targets.close_idle()
            await asyncio.sleep(period_s)

    def _log_health(self) -> None:
        for change in self.state.health_changes:
            log_event(
                Event.TARGET_HEALTH,
                target_id=change.target_id,
                state=change.state,
                allowance=change.allowance,
            )
        self.state.health_changes.clear()

    def _log_overload(self, now: float) -> None:
        refused = self.state.counters.refused
        if refused != self._refused_seen:
            self._refused_seen = refused
            if self._refused_at is None:
                log_event(Event.OVERLOAD_STARTED, queued=len(self.state.queue))
            self._refused_at = now
        elif self._refused_at is not None and now - self._refused_at > OVERLOAD_END_S:
            self._refused_at = None
            log_event(Event.OVERLOAD_ENDED, refused=refused)

    def _check_pause(self, now: float) -> None:
        before = self.pauses.state
        state = self.pauses.tick(now)
        if state is HoldState.HELD and before is not HoldState.HELD:
            log_event(Event.PAUSE_DETECTED, incarnation=self.incarnation)
            self._run(self._confirm_not_superseded())
        self.state.starts_held = not self.pauses.may_start

    async def _confirm_not_superseded(self) -> None:
        while self.pauses.must_read:
            present = await self.successor.was_taken_over(self.incarnation)
            if present is None:
                self.pauses.store_unreachable()
                await asyncio.sleep(self._rng.uniform(0.2, 0.6))
                continue
            if self.pauses.own_row_read(present=present) is HoldState.SUPERSEDED:
                self._on_superseded()
            self.state.starts_held = not self.pauses.may_start

    def _hold_targets(self) -> None:
        # Recalculated only when something may have changed: with 1,400 targets the
        # calculation takes longer than a tick.
        now = time.monotonic()
        if self.member_state is MemberState.STARTING or now < self._holders_due_at:
            return
        self._holders_due_at = now + HOLDERS_PERIOD_S
        held = targets_to_hold(
            instance_id=self.settings.instance_id,
            membership=self.membership,
            targets=self.targets.settings_by_target.values(),
        )
        self.targets.hold(held)

    def _share_quotas(self, now: float) -> None:
        if now - self._quotas_at >= QUOTA_PERIOD_S:
            self._quotas_at = now
            share_quotas(self.state)

    def _on_member_change(self, changes: Sequence[MemberChange]) -> None:
        now = time.monotonic()
        self._holders_due_at = now
        for change in changes:
            if change.superseded_by:
                self.successor.mark_dead(change.incarnation, now)

    def _apply_configuration(self, configuration: SharedConfiguration) -> None:
        tenants = {
            tenant.name: Tenant(
                name=tenant.name,
                weight=tenant.weight,
                quota_slots=tenant.quota_slots,
            )
            for tenant in configuration.tenants
        }
        self.state.tenants_by_name = tenants
        self.state.reconfigure(configuration.applied_to(self.settings.policy))
        content = configuration.content
        self.targets.set_drained_by_configuration(
            content.drained_targets, content.drained_failure_domains
        )
        self.state.queue.set_weights(
            {name: tenant.weight for name, tenant in tenants.items()}
        )
        if self.member_state is MemberState.STARTING:
            self.member_state = MemberState.READY
            self.peers.announce()
            log_event(Event.INSTANCE_READY, incarnation=self.incarnation)

    def _on_settled(self, answer: Answer, job: Job | None) -> None:
        self.offloader.wake()
        if job is None:
            self.metrics.refusals_by_reason[answer.reason].value += 1
            return
        recorder = self.metrics.for_requests(job.tenant, job.method.request_class)
        response_s = time.monotonic() - job.accepted_at
        recorder.answered(answer.outcome, response_s, job.longest_run_s)

    def _on_superseded(self) -> None:
        if self._superseded:
            return
        self._superseded = True
        self.state.superseded = True
        self.superseded.set()
        log_event(Event.INCARNATION_FENCED, incarnation=self.incarnation)
        supersede_all(self.state, time.monotonic())

    def _has_open_work(self) -> bool:
        return bool(self.state.jobs_by_id or self.state.in_flight_by_key)

    def _run(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        task.add_done_callback(_report_failure)


def _report_failure(task: "asyncio.Task[None]") -> None:
    # If a background task ended unnoticed, the instance would still answer calls
    # but do no work. Reporting a violated invariant stops the process instead.
    if task.cancelled() or task.exception() is None:
        return
    failure = InvariantError(f"a background task ended: {task.exception()!r}")
    asyncio.get_running_loop().call_exception_handler(
        {"message": str(failure), "exception": failure}
    )
