"""One instance: its tables, its streams and what runs beside them."""

import asyncio
import contextlib
import random
import time
from collections.abc import Coroutine, Sequence

from grpclib._typing import IServable

from cassiaturn.configuration import ConfigurationKeeper, SharedConfiguration, to_json
from cassiaturn.engine import (
    EngineSettings,
    Job,
    State,
    Tenant,
    give_back_all,
    share_quotas,
    supersede_all,
    tick,
)
from cassiaturn.entities import Address, Answer, Schema
from cassiaturn.membership import (
    HostHint,
    MemberChange,
    MemberFacts,
    MemberRow,
    MembershipSettings,
    MembershipTable,
    MemberState,
)
from cassiaturn.observability import Event, Metrics, Ready, StatusDocument, log_event
from cassiaturn.recovery import (
    HoldState,
    PauseDetector,
    RecoverySettings,
    TakeoverTable,
)
from cassiaturn.server._caller_service import CallerService, SchemaService
from cassiaturn.server._claims import ClaimWriter
from cassiaturn.server._grpc_server import ClosingServer
from cassiaturn.server._holders import targets_to_hold
from cassiaturn.server._homes import Homes
from cassiaturn.server._hosts import HostListReader
from cassiaturn.server._link import Link
from cassiaturn.server._offload import Offloader
from cassiaturn.server._operator_service import OperatorService
from cassiaturn.server._peer_service import PeerService
from cassiaturn.server._peers import PeerBook, load_of
from cassiaturn.server._platform import Platform
from cassiaturn.server._ports import ServerPorts
from cassiaturn.server._reclaim import Reclaimer
from cassiaturn.server._status import status_of
from cassiaturn.server._successor import Successor
from cassiaturn.server._targets import TargetBook
from cassiaturn.settings import InstanceSettings
from cassiaturn.submission import (
    ClaimLedger,
    ClaimSettings,
    InvariantError,
    StoreBudget,
    StoreSettings,
    SubmissionSettings,
    SubmissionTable,
    TicketIssuer,
    new_incarnation,
)

MILLISECONDS = 1000

REASONS_NOT_READY = {
    MemberState.STARTING: "no shared configuration yet",
    MemberState.LEAVING: "a planned stop is under way",
}
"""Why an instance takes nothing new, by its state."""

LEAVING_NOTICE_S = 0.2
"""Time for peers to hear that we leave before our listening port closes."""

CLOSE_TIMEOUT_S = 1.0
"""Longest wait for the listening port and its connections, in seconds."""

LAST_ANSWER_S = 0.1
"""Time for the last answers to leave before the connections close, in seconds."""

DRAIN_STEP_S = 0.02
"""Pause between two looks at whether everything has ended, in seconds."""

HOLDERS_PERIOD_S = 1.0
"""Longest time until a changed list of targets is shared out anew, in seconds."""

QUOTA_PERIOD_S = 0.5
"""Period in which a tenant's quota is split anew: twice a heartbeat."""


class Instance:
    """A running instance; :meth:`start` it, then :meth:`stop` it."""

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        schema: Schema,
        stop_requested: asyncio.Event | None = None,
    ) -> None:
        """Build the tables; no connection opens yet.

        :param stop_requested: set when a planned stop is asked for.
        """
        rng = random.Random()
        boot_ms = int(time.time() * MILLISECONDS)
        self.settings = settings
        self.started_at = time.monotonic()
        self.stop_requested = stop_requested or asyncio.Event()
        self.superseded = asyncio.Event()
        self.metrics = Metrics(
            instance_id=settings.instance_id,
            failure_domain=settings.failure_domain,
            otlp_endpoint=settings.otlp_endpoint,
        )
        self.incarnation = new_incarnation(
            instance_id=settings.instance_id, boot_ms=boot_ms, rng=rng
        )
        self.member_state = MemberState.STARTING
        self._rng = rng
        self._links_by_incarnation: dict[str, Link] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._quotas_at = 0.0
        self._holders_due_at = 0.0
        self._server: ClosingServer | None = None
        self._superseded = False
        self.platform = Platform(
            settings=settings.platform, timings=settings.timings, metrics=self.metrics
        )
        self._build_engine(schema)
        self._build_membership()
        self._build_homes()
        self._build_host_list()
        self.reclaimer = Reclaimer(state=self.state, addresses_in=self._targets_of)
        self.configuration = ConfigurationKeeper(
            table=self.platform.table,
            budget=self.budget,
            initial=settings.configuration_file,
            poll_s=settings.timings.configuration_poll_ms / MILLISECONDS,
            highest_at_peers=self.membership.highest_version,
            on_applied=self._apply_configuration,
            rng=rng,
            fetch_from_peer=self.peers.fetch_configuration,
        )

    async def start(self) -> None:
        """Open the ports and begin to serve.

        :raises OSError: the port is taken or not ours.
        """
        handlers: list[IServable] = [
            CallerService(homes=self.homes),
            SchemaService(homes=self.homes, methods=self.state.schema.methods_by_name),
            PeerService(
                homes=self.homes,
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
        """Stop without cutting anything: drain, tell the peers, close."""
        await self.drain()
        await self.close()

    async def drain(self) -> None:
        """Take nothing new and wait until everything in flight has ended."""
        log_event(Event.INSTANCE_DRAINING, incarnation=self.incarnation)
        self.state.draining = True
        give_back_all(self.state, time.monotonic())
        self.member_state = MemberState.LEAVING
        self._holders_due_at = 0.0
        self.peers.announce()
        limit_s = self.settings.timings.drain_timeout_ms / MILLISECONDS
        give_up = time.monotonic() + limit_s
        await asyncio.sleep(LEAVING_NOTICE_S)
        while self._busy() and time.monotonic() < give_up:  # noqa: ASYNC110
            # Several tables have to be empty at once, so no single event tells.
            await asyncio.sleep(DRAIN_STEP_S)
        await asyncio.sleep(LAST_ANSWER_S)
        if self._busy():
            log_event(Event.DRAIN_TIMED_OUT, jobs=len(self.state.jobs_by_id))

    async def close(self) -> None:
        """Close every stream and port."""
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
            # Callers keep connections open that nobody uses any more; the loop's
            # own wait would last until the last of them closes his.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._server.wait_closed()

    def ready(self) -> Ready:
        """Return whether new submissions are taken, and why not."""
        if self.member_state is MemberState.READY:
            return Ready(ready=True)
        return Ready(ready=False, reason=REASONS_NOT_READY[self.member_state])

    def status(self) -> StatusDocument:
        """Return everything that this instance says of itself."""
        return status_of(self)

    def _build_engine(self, schema: Schema) -> None:
        settings = self.settings
        limits = settings.limits
        timings = settings.timings
        retention_s = limits.result_retention_ms / MILLISECONDS
        ticket_valid_s = limits.ticket_valid_ms / MILLISECONDS
        submissions = SubmissionTable(
            incarnation=self.incarnation,
            booted_at=self.started_at,
            settings=SubmissionSettings(
                ticket_valid_s=ticket_valid_s,
                retention_s=max(retention_s, ticket_valid_s + 1.0),
                max_records=limits.max_open_submissions,
                max_result_bytes=limits.result_budget_bytes,
                inline_bytes=limits.result_object_bytes,
            ),
        )
        self.ports = ServerPorts(
            links_by_incarnation=self._links_by_incarnation,
            metrics=self.metrics,
            on_settled=self._on_settled,
            on_superseded=self._on_superseded,
        )
        self.state = State(
            settings=EngineSettings(
                incarnation=self.incarnation,
                instance_id=settings.instance_id,
                failure_domain=settings.failure_domain,
                lease_s=timings.lease_ms / MILLISECONDS,
                start_within_s=timings.start_within_ms / MILLISECONDS,
                peer_silence_s=timings.gone_after_ms / MILLISECONDS,
                peer_gone_s=timings.gone_after_ms / MILLISECONDS,
                max_tasks_per_job=limits.max_tasks_per_job,
                max_payload_bytes=limits.max_payload_bytes,
                max_job_bytes=limits.max_job_bytes,
            ),
            policy=settings.policy,
            schema=schema,
            submissions=submissions,
            ports=self.ports,
        )
        self.targets = TargetBook(state=self.state, holder=self.incarnation)
        self.targets.know(settings.targets)
        self.ports.sessions_by_target = self.targets.sessions_by_target

    def _build_membership(self) -> None:
        timings = self.settings.timings
        self.membership = MembershipTable(
            me=MemberRow(facts=self._facts()),
            settings=MembershipSettings(
                heartbeat_s=timings.heartbeat_ms / MILLISECONDS,
                suspect_after_s=timings.suspect_after_ms / MILLISECONDS,
                gone_after_s=timings.gone_after_ms / MILLISECONDS,
            ),
            rng=self._rng,
        )
        self.peers = PeerBook(
            state=self.state,
            membership=self.membership,
            addresses_by_instance={
                peer.instance_id: peer.address for peer in self.settings.peers
            },
            links_by_incarnation=self._links_by_incarnation,
            metrics=self.metrics,
            describe=self._facts,
            on_change=self._on_member_change,
            connect_timeout_s=timings.connect_timeout_ms / MILLISECONDS,
            full_links=self.settings.limits.full_links,
        )
        self.membership.hint(
            [
                HostHint(
                    instance_id=peer.instance_id, failure_domain=peer.failure_domain
                )
                for peer in self.settings.peers
            ]
        )
        self.pauses = PauseDetector(
            suspicion_timeout_s=timings.suspect_after_ms / MILLISECONDS
        )

    def _build_homes(self) -> None:
        limits = self.settings.limits
        timings = self.settings.timings
        self.budget = StoreBudget(
            settings=StoreSettings(
                writes_per_s=limits.store_writes_per_s,
                reads_per_s=limits.store_reads_per_s,
            ),
            rng=self._rng,
        )
        self.claims = ClaimWriter(
            ledger=ClaimLedger(
                incarnation=self.incarnation,
                settings=ClaimSettings(),
                budget=self.budget,
                rng=self._rng,
            ),
            budget=self.budget,
            table=self.platform.table,
            retention_ms=limits.claim_retention_ms,
            rng=self._rng,
        )
        self.successor = Successor(
            table=TakeoverTable(
                incarnation=self.incarnation,
                settings=RecoverySettings(
                    max_start_within_s=timings.start_within_ms / MILLISECONDS,
                    max_lease_s=timings.lease_ms / MILLISECONDS,
                ),
                rng=self._rng,
            ),
            store=self.platform.table,
            budget=self.budget,
            peers=self.peers,
            addresses_by_target=self._addresses_by_target,
            incarnation=self.incarnation,
            max_clock_skew_ms=limits.max_clock_skew_ms,
            ticket_valid_ms=limits.ticket_valid_ms,
        )
        self.homes = Homes(
            state=self.state,
            ports=self.ports,
            issuer=TicketIssuer(
                incarnation=self.incarnation,
                valid_for_s=limits.ticket_valid_ms / MILLISECONDS,
                booted_at=self.started_at,
            ),
            ticket_valid_ms=limits.ticket_valid_ms,
            peers=self.peers,
            claims=self.claims,
            successor=self.successor,
        )
        self.offloader = Offloader(
            submissions=self.state.submissions,
            objects=self.platform.objects,
            kept_s=limits.result_retention_ms / MILLISECONDS,
        )
        self.homes.fetch_results = self.offloader.fetch

    def configuration_json(self) -> str:
        """Return the shared configuration in force, for a peer; empty: none."""
        current = self.configuration.view.current
        return to_json(current) if current is not None else ""

    def _targets_of(self, incarnation: str) -> dict[str, Address]:
        """Return the targets that another instance may have started tasks at."""
        domains = self.peers.domains_by_incarnation.get(incarnation, set())
        return {
            target_id: target.address
            for target_id, target in self.targets.settings_by_target.items()
            if target.failure_domain in domains
        }

    def _build_host_list(self) -> None:
        self.host_list = HostListReader(
            hosts=self.platform.hosts,
            period_s=self.settings.timings.host_list_poll_ms / MILLISECONDS,
            membership=self.membership,
            peers=self.peers,
            targets=self.targets,
            rng=self._rng,
        )

    def _facts(self) -> MemberFacts:
        slots, free_slots, queued, wait_ms = load_of(self.state)
        configuration = getattr(self, "configuration", None)
        return MemberFacts(
            instance_id=self.settings.instance_id,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            state=self.member_state,
            configuration_version=configuration.version if configuration else 0,
            slots=slots,
            free_slots=free_slots,
            queued=queued,
            expected_wait_ms=wait_ms,
        )

    def _addresses_by_target(self) -> dict[str, Address]:
        return {
            target_id: target.address
            for target_id, target in self.targets.settings_by_target.items()
        }

    async def _run_ticks(self) -> None:
        period_s = self.settings.timings.tick_ms / MILLISECONDS
        while True:
            now = time.monotonic()
            self._check_pause(now)
            self.peers.tick(now)
            self._hold_targets()
            self._share_quotas(now)
            tick(self.state, now)
            self.targets.close_idle()
            await asyncio.sleep(period_s)

    def _check_pause(self, now: float) -> None:
        before = self.pauses.state
        state = self.pauses.tick(now)
        if state is HoldState.HELD and before is not HoldState.HELD:
            log_event(Event.PAUSE_DETECTED, incarnation=self.incarnation)
            self._run(self._confirm_home())
        self.state.starts_held = not self.pauses.may_start

    async def _confirm_home(self) -> None:
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
        # The shares of all targets are worked out again only when something may
        # have changed: at 1,400 targets it takes longer than a tick.
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
                self.successor.proved_dead(change.incarnation, now)

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
        self.targets.drain_shared(configuration.content.drained_targets)
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

    def _busy(self) -> bool:
        return bool(self.state.jobs_by_id or self.state.in_flight_by_key)

    def _run(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        task.add_done_callback(_report_failure)


def _report_failure(task: "asyncio.Task[None]") -> None:
    # A loop that ends unseen would leave an instance that answers and does
    # nothing; a broken invariant has to stop the process instead.
    if task.cancelled() or task.exception() is None:
        return
    failure = InvariantError(f"a loop of the instance ended: {task.exception()!r}")
    asyncio.get_running_loop().call_exception_handler(
        {"message": str(failure), "exception": failure}
    )
