"""Polls the platform's host list for new instances and leaving hosts."""

import asyncio
import random
from collections.abc import Sequence

from returns.result import Success

from cassiaturn.membership import HostHint, MembershipTable
from cassiaturn.server._peers import PeerManager
from cassiaturn.server._targets import TargetManager
from cassiaturn.services import Host, HostList, HostState

JITTER = 0.25
"""Fraction of the period by which a read may be early or late, so that instances
which started together do not read at the same time."""


class HostListReader:
    """Passes the host list on as hints.

    The list lags behind, so an instance that it does not name is not removed.
    """

    def __init__(
        self,
        *,
        hosts: HostList | None,
        period_s: float,
        membership: MembershipTable,
        peers: PeerManager,
        targets: TargetManager,
        rng: random.Random,
    ) -> None:
        """Create the reader of one instance.

        :param hosts: None if the settings name no host list.
        :param period_s: mean time between two reads, in seconds.
        """
        self._hosts = hosts
        self._period_s = period_s
        self._membership = membership
        self._peers = peers
        self._targets = targets
        self._rng = rng

    async def run(self) -> None:
        """Poll the list until cancelled."""
        if self._hosts is None:
            return
        while True:
            match await self._hosts.hosts():
                case Success(hosts):
                    self._apply(hosts)
                case _:
                    # Keep the last known list: its outage must not change anything.
                    pass
            factor = self._rng.uniform(1 - JITTER, 1 + JITTER)
            await asyncio.sleep(self._period_s * factor)

    def _apply(self, hosts: Sequence[Host]) -> None:
        hints = []
        for host in hosts:
            leaving = host.state is HostState.LEAVING
            if host.host_id in self._targets.settings_by_target:
                self._targets.set_listed_leaving(host.host_id, leaving=leaving)
                continue
            self._peers.set_address(host.host_id, host.address)
            hints.append(
                HostHint(
                    instance_id=host.host_id,
                    failure_domain=host.failure_domain,
                    leaving=leaving,
                )
            )
        self._membership.hint(hints)
