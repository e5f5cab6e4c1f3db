"""Tracks the state of the other instances, mainly by their heartbeats.

Load pattern: 300 hosts are replaced on an ordinary day, 8 fail, and links break for
minutes. Silence alone never removes a member at once: it is suspected and probed
first, and any frame from it ends the suspicion. The platform's list of hosts is only
a hint. Without the suspicion, each short silence would move targets and work.

The states are not authoritative. A wrong one causes refused starts, or the takeover
of a running instance. That is safe, since targets are told to refuse its starts first
(fencing).
"""

import math
import random
from collections.abc import Collection, Mapping, Sequence
from types import MappingProxyType

from cassiaturn.membership._change_log import ChangeLog
from cassiaturn.membership._failure_detector import (
    evaluate,
    exclude_pause,
    expire_silence,
    is_expired,
    record_link,
    suspect,
)
from cassiaturn.membership._heartbeat_peers import HeartbeatPeers
from cassiaturn.membership._rows import (
    HostHint,
    MemberChange,
    MemberFacts,
    MemberRow,
    MemberState,
    eligible_holders,
    probed_incarnations,
    replaces,
)
from cassiaturn.membership._settings import MembershipSettings
from cassiaturn.submission import instance_of


class MembershipTable:
    """Rows of the other instances by id; the row of this instance is kept apart."""

    def __init__(
        self, *, me: MemberRow, settings: MembershipSettings, rng: random.Random
    ) -> None:
        """Create a table without other members.

        :param me: row of this instance.
        :param settings: intervals and timeouts of heartbeats.
        :param rng: source of jitter, and of the gone member to contact.
        """
        self._me = me
        self._settings = settings
        self._rng = rng
        self._members_by_id: dict[str, MemberRow] = {}
        self._ids_by_incarnation: dict[str, str] = {}
        self._log = ChangeLog()
        self._peers = HeartbeatPeers(near_links=settings.near_links)
        self._evaluate_at = 0.0
        self._retry_at = 0.0
        self._send_now = False
        self._ticked_at: float | None = None

    @property
    def members_by_id(self) -> Mapping[str, MemberRow]:
        """Rows of the other instances, as a read-only view."""
        return MappingProxyType(self._members_by_id)

    @property
    def me(self) -> MemberRow:
        """Row of this instance; change it by :meth:`describe`."""
        return self._me

    def describe(self, facts: MemberFacts) -> None:
        """Set what this instance reports of itself in heartbeats."""
        self._me.facts = facts

    def observe(self, facts: MemberFacts, now: float) -> None:
        """Process a heartbeat.

        :param facts: contents of the heartbeat.
        :param now: monotonic time, in seconds.
        """
        if facts.instance_id == self._me.facts.instance_id:
            return
        row = self._members_by_id.get(facts.instance_id)
        if row is None:
            row = MemberRow(facts=facts)
            self._members_by_id[facts.instance_id] = row
            self._peers.invalidate_links()
            self._evaluate_soon()
        elif row.facts.incarnation != facts.incarnation:
            if not replaces(facts.incarnation, row):
                return
            self._replace(row, facts)
        elif row.facts.failure_domain != facts.failure_domain:
            self._peers.invalidate_links()
            self._evaluate_soon()
        if row.facts.state is not facts.state:
            self._evaluate_soon()
        row.facts = facts
        self._ids_by_incarnation[facts.incarnation] = facts.instance_id
        self._mark_heard(row, now)
        self._reply_to_probe(row, now)
        for incarnation in facts.suspected:
            self._apply_suspicion(incarnation, now)

    def heard(self, incarnation: str, now: float) -> None:
        """Record any frame from a member; it ends every suspicion of it.

        :param incarnation: sender of the frame; ignored if unknown.
        :param now: monotonic time, in seconds.
        """
        row = self._row_of(incarnation)
        if row is not None:
            self._mark_heard(row, now)

    def disconnected(self, incarnation: str, now: float) -> None:
        """Record that the link to a member broke, and suspect and probe it.

        A process that died is thus suspected before its silence would show it. The
        member may still answer until ``gone_after_s``: only its connection may have
        broken, and one that is no neighbour may have had no reason to send anything
        for an hour.

        :param incarnation: member at the other end; ignored if unknown.
        :param now: monotonic time, in seconds.
        """
        row = self._row_of(incarnation)
        if row is not None and not row.suspected:
            suspect(row, now - self._settings.suspect_after_s)
            row.sent_at = None
            self._send_now = True
            self._evaluate_soon()

    def refused(self, instance_id: str, now: float) -> None:
        """Record that nothing listens at the address of a member.

        Its link is broken and its host refuses connections, so there is no need to
        wait for the timeout. A single refusal may come while a new process starts; a
        second one after ``refused_s`` does not.

        :param instance_id: the member; ignored unless it is suspected.
        :param now: monotonic time, in seconds.
        """
        row = self._members_by_id.get(instance_id)
        if row is None or not row.suspected or row.gone_at is not None:
            return
        if row.refused_at is None:
            row.refused_at = now
        elif now - row.refused_at >= self._settings.refused_s:
            expire_silence(row, now - self._settings.gone_after_s)
            self._evaluate_soon()

    def hint(self, hosts: Sequence[HostHint]) -> None:
        """Process the platform's list of hosts, which may be out of date.

        It only adds instances to link to, and tells which are about to leave. It never
        removes a member that was heard, and never makes a gone one live again.

        :param hosts: all entries of the list.
        """
        for host in hosts:
            if host.instance_id == self._me.facts.instance_id:
                continue
            row = self._members_by_id.get(host.instance_id)
            if row is None:
                row = self._add_listed(host)
            row.listed_leaving = host.leaving
        self._evaluate_soon()
        listed = {host.instance_id for host in hosts}
        for instance_id, row in list(self._members_by_id.items()):
            if row.heard_at is None and instance_id not in listed:
                self._forget(instance_id)

    def tick(self, now: float) -> Sequence[MemberChange]:
        """Evaluate silences and return the changes since the last evaluation.

        :param now: monotonic time, in seconds.
        :returns: the changes of members, each once.
        """
        self._exclude_own_pause(now)
        self._contact_a_gone_member(now)
        if now < self._evaluate_at:
            return []
        links = self._links()
        self._evaluate_at = math.inf
        for instance_id, row in list(self._members_by_id.items()):
            record_link(row, now, linked=instance_id in links)
            before = row.state
            evaluate_at = evaluate(row, now, self._settings)
            self._evaluate_at = min(self._evaluate_at, evaluate_at)
            if is_expired(row, now, self._settings):
                self._forget(instance_id)
            elif row.state is not before:
                self._apply_evaluation(row)
        if self._peers.is_stale:
            self._evaluate_at = now
        for row in self._members_by_id.values():
            self._log.record_state(row)
        return self._log.take()

    def _contact_a_gone_member(self, now: float) -> None:
        # In a network partition, each side declares the other gone and sends it
        # nothing more. Without an occasional heartbeat, they would stay separated
        # after the partition ends.
        if now < self._retry_at:
            return
        self._retry_at = now + self._settings.retry_gone_s
        rows = self._members_by_id.values()
        gone = [row for row in rows if row.gone_at is not None]
        if gone:
            self._schedule_heartbeat(self._rng.choice(gone))

    def _contact_gone_in_domain(self, failure_domain: str) -> None:
        # A member came back; others of its domain that the same partition cut off
        # are likely to be reachable again too.
        for row in self._members_by_id.values():
            is_same_domain = row.facts.failure_domain == failure_domain
            if is_same_domain and row.gone_at is not None:
                self._schedule_heartbeat(row)

    def _schedule_heartbeat(self, row: MemberRow) -> None:
        row.needs_heartbeat = True
        row.sent_at = None
        self._peers.invalidate_peers()

    def _apply_evaluation(self, row: MemberRow) -> None:
        self._peers.invalidate_peers()
        if row.gone_at is not None:
            self._peers.invalidate_links()
        else:
            self._send_now = True

    def _exclude_own_pause(self, now: float) -> None:
        # A process that was paused resumes with old times and unread frames. All
        # members would seem silent, and it would take over the work of all of them.
        pause_s = 0.0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        if pause_s <= self._settings.heartbeat_s:
            return
        for row in self._members_by_id.values():
            exclude_pause(row, pause_s)

    def heartbeat_peer_ids(self) -> Collection[str]:
        """Return ids of the instances to exchange heartbeats with.

        These are the neighbours (:func:`links_of` among members that are not gone),
        the members under probe, and members that are to be sent one heartbeat.
        """
        return self._peers.peer_ids(self._me, self._members_by_id)

    def _links(self) -> Collection[str]:
        return self._peers.links(self._me, self._members_by_id)

    def heartbeat_due(self, instance_id: str, now: float) -> bool:
        """Return whether a heartbeat to a member is due.

        Up to a tenth of the period is subtracted at random, so that instances that
        started together do not keep sending together.

        :param instance_id: the member; False if unknown.
        :param now: monotonic time, in seconds.
        """
        row = self._members_by_id.get(instance_id)
        if row is None:
            return False
        if row.sent_at is None or self._send_now:
            return True
        period_s = self._settings.heartbeat_s * self._rng.uniform(0.9, 1.0)
        return now - row.sent_at >= period_s

    def sent(self, instance_id: str, now: float) -> None:
        """Record that a frame with a heartbeat was sent to a member.

        :param instance_id: the member; ignored if unknown.
        :param now: monotonic time, in seconds.
        """
        row = self._members_by_id.get(instance_id)
        if row is None:
            return
        row.sent_at = now
        if row.needs_heartbeat:
            row.needs_heartbeat = False
            self._peers.invalidate_peers()

    def heartbeats_sent(self) -> None:
        """Record that the heartbeats which were due at once are sent to all peers."""
        self._send_now = False

    def suspicions(self) -> Sequence[str]:
        """Return incarnations to name as suspected in heartbeats.

        These are the members that this instance probes. A suspicion is passed on at
        once, so that it crosses a failure domain within one round trip per hop. Each
        receiver probes the suspected member, and no longer passes the suspicion on
        once it hears from that member, so that a false suspicion ends.

        :returns: at most ``max_suspicions`` incarnations.
        """
        probed = probed_incarnations(self._members_by_id.values())
        return probed[: self._settings.max_suspicions]

    def live(self, failure_domain: str) -> Sequence[str]:
        """Return instances that may hold targets of a failure domain, sorted.

        Suspected ones are included, so that a short silence moves no target.
        """
        rows = [*self._members_by_id.values(), self._me]
        return eligible_holders(rows, failure_domain)

    def highest_version(self) -> int:
        """Return the highest configuration version in heartbeats; 0 without members."""
        versions = [
            row.facts.configuration_version for row in self._members_by_id.values()
        ]
        return max(versions, default=0)

    def _row_of(self, incarnation: str) -> MemberRow | None:
        instance_id = self._ids_by_incarnation.get(incarnation)
        if instance_id is None:
            return None
        row = self._members_by_id.get(instance_id)
        if row is None or row.facts.incarnation != incarnation:
            return None
        return row

    def _mark_heard(self, row: MemberRow, now: float) -> None:
        row.heard_at = now
        if row.gone_at is not None:
            self._peers.invalidate_links()
            self._contact_gone_in_domain(row.facts.failure_domain)
        if row.suspected or row.probed_since is not None or row.gone_at is not None:
            row.suspected = False
            row.probed_since = None
            row.refused_at = None
            row.gone_at = None
            self._evaluate_soon()

    def _reply_to_probe(self, row: MemberRow, now: float) -> None:
        # A member that is no neighbour sends a heartbeat to probe this instance, since
        # another one suspects it. Without a reply it would declare this instance
        # gone. A heartbeat that comes shortly after one was sent to its sender is
        # itself a reply; if replies were replied to, the exchange would never end.
        if row.facts.instance_id in self._links():
            return
        if row.sent_at is None or now - row.sent_at >= self._settings.heartbeat_s:
            self._schedule_heartbeat(row)

    def _evaluate_soon(self) -> None:
        """Make the next tick evaluate all members, since something changed."""
        self._peers.invalidate_peers()
        self._evaluate_at = 0.0

    def _apply_suspicion(self, incarnation: str, now: float) -> None:
        if incarnation == self._me.facts.incarnation:
            # Heartbeats are sent at once. Otherwise the suspicion would end in the
            # takeover of this running instance, and all its queued work would be
            # refused.
            self._send_now = True
            return
        row = self._members_by_id.get(instance_of(incarnation))
        if row is None or row.gone_at is not None or row.probed_since is not None:
            return
        if row.facts.incarnation not in (incarnation, ""):
            return
        recent_s = self._settings.heartbeat_s
        if row.heard_at is not None and now - row.heard_at < recent_s:
            return
        # The member that suspected it first already waited this long. All members
        # then declare it gone at the same time, unless it answers.
        row.probed_since = now - self._settings.suspect_after_s
        row.sent_at = None
        self._send_now = True
        self._evaluate_soon()

    def _replace(self, row: MemberRow, facts: MemberFacts) -> None:
        self._ids_by_incarnation.pop(row.facts.incarnation, None)
        self._log.record_replaced(row, facts)
        self._peers.invalidate_links()
        self._evaluate_soon()
        row.sent_at = None

    def _add_listed(self, host: HostHint) -> MemberRow:
        facts = MemberFacts(
            instance_id=host.instance_id,
            incarnation="",
            failure_domain=host.failure_domain,
            state=MemberState.READY,
        )
        row = MemberRow(facts=facts)
        self._members_by_id[host.instance_id] = row
        self._peers.invalidate_links()
        return row

    def _forget(self, instance_id: str) -> None:
        row = self._members_by_id.pop(instance_id)
        self._ids_by_incarnation.pop(row.facts.incarnation, None)
        self._log.forget(instance_id)
        self._peers.invalidate_links()
