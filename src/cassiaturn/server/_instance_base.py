"""Builds the parts of an instance and connects them."""

import asyncio
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Sequence

from cassiaturn.configuration import ConfigurationKeeper, SharedConfiguration, to_json
from cassiaturn.engine import (
    EngineSettings,
    Job,
    State,
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
from cassiaturn.observability import Metrics
from cassiaturn.recovery import (
    PauseDetector,
    RecoverySettings,
    TakeoverTable,
)
from cassiaturn.server._claims import ClaimWriter
from cassiaturn.server._hosts import HostListReader
from cassiaturn.server._link import Link
from cassiaturn.server._offload import Offloader
from cassiaturn.server._peers import PeerManager, load_of
from cassiaturn.server._platform import PlatformServices
from cassiaturn.server._ports import ServerPorts
from cassiaturn.server._reclaim import Reclaimer
from cassiaturn.server._router import SubmissionRouter
from cassiaturn.server._successor import Successor
from cassiaturn.server._targets import TargetManager
from cassiaturn.settings import InstanceSettings
from cassiaturn.submission import (
    ClaimLedger,
    ClaimSettings,
    StoreBudget,
    StoreSettings,
    SubmissionSettings,
    SubmissionTable,
    TicketIssuer,
    new_incarnation,
)
from cassiaturn.transport import ClosingServer

MS_PER_S = 1000


class InstanceBase(ABC):
    """The tables, streams and background jobs of one instance, not running yet.

    :class:`Instance` runs them and handles the events that they report.
    """

    def __init__(
        self,
        *,
        settings: InstanceSettings,
        schema: Schema,
        stop_requested: asyncio.Event | None = None,
    ) -> None:
        """Build the parts; no connection opens yet.

        :param stop_requested: set when a planned stop is requested.
        """
        rng = random.Random()
        boot_ms = int(time.time() * MS_PER_S)
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
        self._refused_seen = 0
        self._refused_at: float | None = None
        self._holders_due_at = 0.0
        self._server: ClosingServer | None = None
        self._superseded = False
        self.platform = PlatformServices(
            settings=settings.platform, timings=settings.timings, metrics=self.metrics
        )
        self._build_engine(schema)
        self._build_membership()
        self._build_homes()
        self._build_host_list()
        self.reclaimer = Reclaimer(
            state=self.state, addresses_for_peer=self._addresses_for_peer
        )
        self.configuration = ConfigurationKeeper(
            table=self.platform.table,
            budget=self.budget,
            initial=settings.configuration_file,
            poll_s=settings.timings.configuration_poll_ms / MS_PER_S,
            highest_at_peers=self.membership.highest_version,
            on_applied=self._apply_configuration,
            rng=rng,
            fetch_from_peer=self.peers.fetch_configuration,
        )

    def configuration_json(self) -> str:
        """Return the shared configuration in force as JSON; empty if there is none."""
        current = self.configuration.view.current
        return to_json(current) if current is not None else ""

    def _build_engine(self, schema: Schema) -> None:
        settings = self.settings
        limits = settings.limits
        timings = settings.timings
        retention_s = limits.result_retention_ms / MS_PER_S
        ticket_valid_s = limits.ticket_valid_ms / MS_PER_S
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
                lease_s=timings.lease_ms / MS_PER_S,
                start_within_s=timings.start_within_ms / MS_PER_S,
                peer_silence_s=timings.gone_after_ms / MS_PER_S,
                peer_gone_s=timings.gone_after_ms / MS_PER_S,
                max_tasks_per_job=limits.max_tasks_per_job,
                max_payload_bytes=limits.max_payload_bytes,
                max_job_bytes=limits.max_job_bytes,
            ),
            policy=settings.policy,
            schema=schema,
            submissions=submissions,
            ports=self.ports,
        )
        self.targets = TargetManager(state=self.state, holder=self.incarnation)
        self.targets.update_targets(settings.targets)
        self.ports.sessions_by_target = self.targets.sessions_by_target

    def _build_membership(self) -> None:
        timings = self.settings.timings
        self.membership = MembershipTable(
            me=MemberRow(facts=self._own_facts()),
            settings=MembershipSettings(
                heartbeat_s=timings.heartbeat_ms / MS_PER_S,
                suspect_after_s=timings.suspect_after_ms / MS_PER_S,
                gone_after_s=timings.gone_after_ms / MS_PER_S,
            ),
            rng=self._rng,
        )
        self.peers = PeerManager(
            state=self.state,
            membership=self.membership,
            addresses_by_instance={
                peer.instance_id: peer.address for peer in self.settings.peers
            },
            links_by_incarnation=self._links_by_incarnation,
            metrics=self.metrics,
            own_facts=self._own_facts,
            on_change=self._on_member_change,
            connect_timeout_s=timings.connect_timeout_ms / MS_PER_S,
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
            suspicion_timeout_s=timings.suspect_after_ms / MS_PER_S
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
                    max_start_within_s=timings.start_within_ms / MS_PER_S,
                    max_lease_s=timings.lease_ms / MS_PER_S,
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
        self.router = SubmissionRouter(
            state=self.state,
            ports=self.ports,
            issuer=TicketIssuer(
                incarnation=self.incarnation,
                valid_for_s=limits.ticket_valid_ms / MS_PER_S,
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
            retention_s=limits.result_retention_ms / MS_PER_S,
        )
        self.router.fetch_results = self.offloader.fetch

    def _addresses_for_peer(self, incarnation: str) -> dict[str, Address]:
        """Return the targets at which a peer incarnation may have started tasks."""
        domains = self.peers.domains_by_incarnation.get(incarnation, set())
        return {
            target_id: target.address
            for target_id, target in self.targets.settings_by_target.items()
            if target.failure_domain in domains
        }

    def _build_host_list(self) -> None:
        self.host_list = HostListReader(
            hosts=self.platform.hosts,
            period_s=self.settings.timings.host_list_poll_ms / MS_PER_S,
            membership=self.membership,
            peers=self.peers,
            targets=self.targets,
            rng=self._rng,
        )

    def _own_facts(self) -> MemberFacts:
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

    @abstractmethod
    def _on_member_change(self, changes: Sequence[MemberChange]) -> None:
        """Handle state changes of members."""

    @abstractmethod
    def _apply_configuration(self, configuration: SharedConfiguration) -> None:
        """Apply a shared configuration."""

    @abstractmethod
    def _on_settled(self, answer: Answer, job: Job | None) -> None:
        """Handle a settled answer; the job is None for a refused submission."""

    @abstractmethod
    def _on_superseded(self) -> None:
        """Handle the takeover of this incarnation by a successor."""
