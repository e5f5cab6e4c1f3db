"""Collects the state changes of members until they are taken by a caller."""

from collections.abc import Sequence

from cassiaturn.membership._rows import (
    MemberChange,
    MemberFacts,
    MemberRow,
    MemberState,
)
from cassiaturn.submission import booted_ms


class ChangeLog:
    """Compares the states of members with those reported before."""

    def __init__(self) -> None:
        self._reported_by_id: dict[str, MemberState] = {}
        self._changes: list[MemberChange] = []

    def record_state(self, row: MemberRow) -> None:
        """Record a change if the state of a member differs from the one reported."""
        instance_id = row.facts.instance_id
        before = self._reported_by_id.get(instance_id)
        if before is row.state:
            return
        self._reported_by_id[instance_id] = row.state
        self._changes.append(
            MemberChange(
                instance_id=instance_id,
                incarnation=row.facts.incarnation,
                before=before,
                after=row.state,
            )
        )

    def record_replaced(self, row: MemberRow, facts: MemberFacts) -> None:
        """Record that another incarnation of an instance replaces the known one.

        :param row: row of the instance, with the facts of the known incarnation.
        :param facts: heartbeat of the other incarnation.
        """
        old = row.facts.incarnation
        before = self._reported_by_id.pop(facts.instance_id, None)
        if not old:
            return
        is_later = booted_ms(facts.incarnation) > booted_ms(old)
        self._changes.append(
            MemberChange(
                instance_id=facts.instance_id,
                incarnation=old,
                before=before,
                after=MemberState.GONE,
                superseded_by=facts.incarnation if is_later else "",
            )
        )

    def forget(self, instance_id: str) -> None:
        """Drop the reported state of a member; it counts as new if it returns."""
        self._reported_by_id.pop(instance_id, None)

    def take(self) -> Sequence[MemberChange]:
        """Return the changes since the last call, each once."""
        changes = self._changes
        self._changes = []
        return changes
