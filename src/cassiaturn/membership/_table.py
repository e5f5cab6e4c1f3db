"""Members by instance, from heartbeats first and the platform's list last.

Load pattern: 300 hosts are replaced on an ordinary day, 8 fail, and links break
for minutes. Silence alone never removes a member at once: it is suspected first,
probed, and can refute by any frame. What is decided here is soft. A wrong belief
costs refused starts or a takeover of a living instance, which fences keep safe.
"""

import math
import random
from collections.abc import Collection, Mapping, Sequence
from types import MappingProxyType

from cassiaturn.membership._changes import ChangeLog
from cassiaturn.membership._circle import Circle
from cassiaturn.membership._rows import (
    HostHint,
    MemberChange,
    MemberFacts,
    MemberRow,
    MemberState,
    asked_incarnations,
    holding_instances,
    replaces,
)
from cassiaturn.membership._settings import MembershipSettings
from cassiaturn.membership._silence import (
    end_patience,
    forgive,
    is_stale,
    judge,
    note_link,
    suspect,
)
from cassiaturn.submission import instance_of


class MembershipTable:
    """Rows of the other instances by id; this instance's own row stands apart."""

    def __init__(
        self, *, me: MemberRow, settings: MembershipSettings, rng: random.Random
    ) -> None:
        self._me = me
        self._settings = settings
        self._rng = rng
        self._members_by_id: dict[str, MemberRow] = {}
        self._ids_by_incarnation: dict[str, str] = {}
        self._log = ChangeLog()
        self._circle = Circle(near_links=settings.near_links)
        self._judge_at = 0.0
        self._retry_at = 0.0
        self._urgent = False
        self._ticked_at: float | None = None

    @property
    def members_by_id(self) -> Mapping[str, MemberRow]:
        """Rows of the others, for reading only."""
        return MappingProxyType(self._members_by_id)

    @property
    def me(self) -> MemberRow:
        """The own row; tell changes by :meth:`describe`."""
        return self._me

    def describe(self, facts: MemberFacts) -> None:
        """Set what this instance tells about itself."""
        self._me.facts = facts

    def observe(self, facts: MemberFacts, now: float) -> None:
        """Take in a heartbeat.

        :param facts: what the sender told.
        :param now: monotonic time, in seconds.
        """
        if facts.instance_id == self._me.facts.instance_id:
            return
        row = self._members_by_id.get(facts.instance_id)
        if row is None:
            row = MemberRow(facts=facts)
            self._members_by_id[facts.instance_id] = row
            self._circle.relink()
            self._look_again()
        elif row.facts.incarnation != facts.incarnation:
            if not replaces(facts.incarnation, row):
                return
            self._replace(row, facts)
        elif row.facts.failure_domain != facts.failure_domain:
            self._circle.relink()
            self._look_again()
        if row.facts.state is not facts.state:
            self._look_again()
        row.facts = facts
        self._ids_by_incarnation[facts.incarnation] = facts.instance_id
        self._clear(row, now)
        self._note_probe(row, now)
        for incarnation in facts.suspected:
            self._hear_rumour(incarnation, now)

    def heard(self, incarnation: str, now: float) -> None:
        """Note any frame of a member; it refutes every suspicion.

        :param now: monotonic time, in seconds.
        """
        row = self._row_of(incarnation)
        if row is not None:
            self._clear(row, now)

    def disconnected(self, incarnation: str, now: float) -> None:
        """Note that the link to a member broke: it is probed from now on.

        A process that died is suspected so without waiting for its silence. It
        gets the rest of the grace to answer: one that is no neighbour may have had
        no reason to speak for an hour, and only its connection broke.

        :param now: monotonic time, in seconds.
        """
        row = self._row_of(incarnation)
        if row is not None and not row.suspected:
            suspect(row, now - self._settings.suspect_after_s)
            row.sent_at = None
            self._urgent = True
            self._look_again()

    def refused(self, instance_id: str, now: float) -> None:
        """Note that nothing listens at the address of a member.

        Its link is broken and its host answers that no process is there, so its
        silence needs no patience. One refusal may fall into the start of a new
        process; a second one after a while does not.

        :param now: monotonic time, in seconds.
        """
        row = self._members_by_id.get(instance_id)
        if row is None or not row.suspected or row.gone_at is not None:
            return
        if row.refused_at is None:
            row.refused_at = now
        elif now - row.refused_at >= self._settings.refused_s:
            end_patience(row, now - self._settings.gone_after_s)
            self._look_again()

    def hint(self, hosts: Sequence[HostHint]) -> None:
        """Take in the platform's list, which lags and is believed in nothing else.

        It names instances to link to, and those about to leave. It never removes
        one that was heard, and never brings back one that is gone.
        """
        for host in hosts:
            if host.instance_id == self._me.facts.instance_id:
                continue
            row = self._members_by_id.get(host.instance_id)
            if row is None:
                row = self._add_hinted(host)
            row.listed_leaving = host.leaving
        self._look_again()
        listed = {host.instance_id for host in hosts}
        for instance_id, row in list(self._members_by_id.items()):
            if row.heard_at is None and instance_id not in listed:
                self._forget(instance_id)

    def tick(self, now: float) -> Sequence[MemberChange]:
        """Judge silences and return what changed since the last tick.

        :param now: monotonic time, in seconds.
        """
        self._forgive_own_pause(now)
        self._retry_gone(now)
        if now < self._judge_at:
            return []
        links = self._links()
        self._judge_at = math.inf
        for instance_id, row in list(self._members_by_id.items()):
            note_link(row, now, linked=instance_id in links)
            before = row.state
            due = judge(row, now, self._settings)
            self._judge_at = min(self._judge_at, due)
            if is_stale(row, now, self._settings):
                self._forget(instance_id)
            elif row.state is not before:
                self._take_judgement(row)
        if self._circle.is_stale:
            self._judge_at = now
        for row in self._members_by_id.values():
            self._log.note_state(row)
        return self._log.take()

    def _retry_gone(self, now: float) -> None:
        # Both sides of a cut take the other for gone and speak to it no more.
        # Without a word now and then they would stay apart after the cut healed.
        if now < self._retry_at:
            return
        self._retry_at = now + self._settings.retry_gone_s
        rows = self._members_by_id.values()
        gone = [row for row in rows if row.gone_at is not None]
        if gone:
            self._greet(self._rng.choice(gone))

    def _greet_domain(self, failure_domain: str) -> None:
        # One came back: the others that the same cut took are likely back too.
        for row in self._members_by_id.values():
            is_near = row.facts.failure_domain == failure_domain
            if is_near and row.gone_at is not None:
                self._greet(row)

    def _greet(self, row: MemberRow) -> None:
        row.owes_answer = True
        row.sent_at = None
        self._circle.review()

    def _take_judgement(self, row: MemberRow) -> None:
        self._circle.review()
        if row.gone_at is not None:
            self._circle.relink()
        else:
            self._urgent = True

    def _forgive_own_pause(self, now: float) -> None:
        # A process that was stopped wakes with old times and unread frames. Every
        # member would seem silent, and this one would take over all of them.
        gap_s = 0.0 if self._ticked_at is None else now - self._ticked_at
        self._ticked_at = now
        if gap_s <= self._settings.heartbeat_s:
            return
        for row in self._members_by_id.values():
            forgive(row, gap_s)

    def neighbours(self) -> Collection[str]:
        """Return ids of the instances to exchange heartbeats with.

        Links of :func:`links_of` over members that are not gone, members under
        probe, and members that probe this one.
        """
        return self._circle.members(self._me, self._members_by_id)

    def _links(self) -> Collection[str]:
        return self._circle.links(self._me, self._members_by_id)

    def heartbeat_due(self, instance_id: str, now: float) -> bool:
        """Whether a heartbeat has to be sent to a neighbour by itself.

        A tenth of the period is drawn off, so that instances which started
        together do not go on sending together.

        :param now: monotonic time, in seconds.
        """
        row = self._members_by_id.get(instance_id)
        if row is None:
            return False
        if row.sent_at is None or self._urgent:
            return True
        period_s = self._settings.heartbeat_s * self._rng.uniform(0.9, 1.0)
        return now - row.sent_at >= period_s

    def sent(self, instance_id: str, now: float) -> None:
        """Note that a frame with a heartbeat went to a member.

        :param now: monotonic time, in seconds.
        """
        row = self._members_by_id.get(instance_id)
        if row is None:
            return
        row.sent_at = now
        if row.owes_answer:
            row.owes_answer = False
            self._circle.review()

    def heartbeats_sent(self) -> None:
        """Note that heartbeats went to every neighbour after a rumour of us."""
        self._urgent = False

    def suspicions(self) -> Sequence[str]:
        """Return incarnations to name as suspected: those under probe here.

        A rumour is passed on at once, so that it crosses a failure domain within
        a round trip a hop. Whoever hears of it asks its subject, and passes it on
        no more once that one is heard; so it dies out.
        """
        asked = asked_incarnations(self._members_by_id.values())
        return asked[: self._settings.max_suspicions]

    def live(self, failure_domain: str) -> Sequence[str]:
        """Return instances that may hold targets of a failure domain, sorted.

        A suspected one still may: a short silence then moves no target.
        """
        rows = [*self._members_by_id.values(), self._me]
        return holding_instances(rows, failure_domain)

    def highest_version(self) -> int:
        """Return the highest configuration version that any member told."""
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

    def _clear(self, row: MemberRow, now: float) -> None:
        row.heard_at = now
        if row.gone_at is not None:
            self._circle.relink()
            self._greet_domain(row.facts.failure_domain)
        if row.suspected or row.probed_since is not None or row.gone_at is not None:
            row.suspected = False
            row.probed_since = None
            row.refused_at = None
            row.gone_at = None
            self._look_again()

    def _note_probe(self, row: MemberRow, now: float) -> None:
        # One that is no neighbour speaks because it was told that we are silent.
        # Unanswered it would take us for gone. A member that we asked just now
        # only answers; to answer that again would never end.
        if row.facts.instance_id in self._links():
            return
        if row.sent_at is None or now - row.sent_at >= self._settings.heartbeat_s:
            self._greet(row)

    def _look_again(self) -> None:
        """Let the next tick judge every member, since something changed."""
        self._circle.review()
        self._judge_at = 0.0

    def _hear_rumour(self, incarnation: str, now: float) -> None:
        if incarnation == self._me.facts.incarnation:
            # Answer at once: silence would let the rumour end in a takeover of a
            # living instance, and all its queued work would be refused.
            self._urgent = True
            return
        row = self._members_by_id.get(instance_of(incarnation))
        if row is None or row.gone_at is not None or row.probed_since is not None:
            return
        if row.facts.incarnation not in (incarnation, ""):
            return
        fresh_s = self._settings.heartbeat_s
        if row.heard_at is not None and now - row.heard_at < fresh_s:
            return
        # Whoever spread it waited so long already; so everybody takes the member
        # for gone at the same time, unless it answers.
        row.probed_since = now - self._settings.suspect_after_s
        row.sent_at = None
        self._urgent = True
        self._look_again()

    def _replace(self, row: MemberRow, facts: MemberFacts) -> None:
        self._ids_by_incarnation.pop(row.facts.incarnation, None)
        self._log.note_replaced(row, facts)
        self._circle.relink()
        self._look_again()
        row.sent_at = None

    def _add_hinted(self, host: HostHint) -> MemberRow:
        facts = MemberFacts(
            instance_id=host.instance_id,
            incarnation="",
            failure_domain=host.failure_domain,
            state=MemberState.READY,
        )
        row = MemberRow(facts=facts)
        self._members_by_id[host.instance_id] = row
        self._circle.relink()
        return row

    def _forget(self, instance_id: str) -> None:
        row = self._members_by_id.pop(instance_id)
        self._ids_by_incarnation.pop(row.facts.incarnation, None)
        self._log.forget(instance_id)
        self._circle.relink()
