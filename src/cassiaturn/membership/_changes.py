"""What became of members since it was last asked."""

from collections.abc import Sequence

from cassiaturn.membership._rows import (
    MemberChange,
    MemberFacts,
    MemberRow,
    MemberState,
)
from cassiaturn.submission import booted_ms


class ChangeLog:
    """Compares the states of members with those told before."""

    def __init__(self) -> None:
        self._told_by_id: dict[str, MemberState] = {}
        self._changes: list[MemberChange] = []

    def note_state(self, row: MemberRow) -> None:
        """Keep a change, if the state of a member is another than told."""
        instance_id = row.facts.instance_id
        before = self._told_by_id.get(instance_id)
        if before is row.state:
            return
        self._told_by_id[instance_id] = row.state
        self._changes.append(
            MemberChange(
                instance_id=instance_id,
                incarnation=row.facts.incarnation,
                before=before,
                after=row.state,
            )
        )

    def note_replaced(self, row: MemberRow, facts: MemberFacts) -> None:
        """Keep that another life of an instance takes the place of the known one.

        :param facts: what the other life tells.
        """
        old = row.facts.incarnation
        before = self._told_by_id.pop(facts.instance_id, None)
        if not old:
            return
        later = booted_ms(facts.incarnation) > booted_ms(old)
        self._changes.append(
            MemberChange(
                instance_id=facts.instance_id,
                incarnation=old,
                before=before,
                after=MemberState.GONE,
                superseded_by=facts.incarnation if later else "",
            )
        )

    def forget(self, instance_id: str) -> None:
        """Tell the state of a member anew, should it come back."""
        self._told_by_id.pop(instance_id, None)

    def take(self) -> Sequence[MemberChange]:
        """Return the changes, each once."""
        changes = self._changes
        self._changes = []
        return changes
