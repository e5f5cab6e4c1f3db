"""A fleet of tables that exchange heartbeats in virtual time."""

import random
from collections.abc import Collection

from cassiaturn.membership import (
    MemberFacts,
    MemberRow,
    MembershipSettings,
    MembershipTable,
    MemberState,
)

TICK_S = 0.05


class Fleet:
    """Every instance knows all others; each message takes one tick."""

    def __init__(self, *, domains: int, size: int) -> None:
        self.now = 0.0
        self.sent = 0
        self.down: set[str] = set()
        self.cut: set[str] = set()
        self._facts = [
            MemberFacts(
                instance_id=f"d{domain}-{number}",
                incarnation=f"d{domain}-{number}~1000000001",
                failure_domain=f"d{domain}",
                state=MemberState.READY,
            )
            for domain in range(domains)
            for number in range(size)
        ]
        self.tables_by_id = {one.instance_id: self._table(one) for one in self._facts}

    def _table(self, mine: MemberFacts) -> MembershipTable:
        table = MembershipTable(
            me=MemberRow(facts=mine),
            settings=MembershipSettings(),
            rng=random.Random(mine.instance_id),
        )
        for other in self._facts:
            table.observe(other, 0.0)
        return table

    def run(self, seconds: float) -> None:
        """Let every instance tick, and deliver what it sends."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for sender_id, table in self.tables_by_id.items():
                if sender_id not in self.down:
                    self._tick(sender_id, table)

    def believers(self, subject: str, state: MemberState) -> Collection[str]:
        """Return the living instances that believe a state of another."""
        return [
            one
            for one, table in self.tables_by_id.items()
            if one not in self.down and one != subject
            if table.members_by_id[subject].state is state
        ]

    def _tick(self, sender_id: str, table: MembershipTable) -> None:
        table.tick(self.now)
        facts = table.me.facts
        beat = MemberFacts(
            instance_id=facts.instance_id,
            incarnation=facts.incarnation,
            failure_domain=facts.failure_domain,
            state=facts.state,
            suspected=table.suspicions(),
        )
        due = [
            one
            for one in table.heartbeat_peer_ids()
            if table.heartbeat_due(one, self.now)
        ]
        for receiver_id in due:
            self.sent += 1
            table.sent(receiver_id, self.now)
            if not self._is_lost(sender_id, receiver_id):
                self.tables_by_id[receiver_id].observe(beat, self.now)
        table.heartbeats_sent()

    def _is_lost(self, sender_id: str, receiver_id: str) -> bool:
        if receiver_id in self.down:
            return True
        return (sender_id in self.cut) != (receiver_id in self.cut)
