"""The leader's copy of the target directory, with a grace period for lost entries."""

from collections.abc import Mapping, Sequence

from cassiaturn.entities import TargetReport

MISSING_GRACE_S = 3.0
"""How long a target may be missing from the directory while it still answers, in
seconds: entries that expired during an outage of the store are back within 2 s of its
recovery, and the watch needs up to 0.8 s to see them."""

MAX_STALE_REPORTS = 8
"""By how many reports an entry may lag behind the newest one and count as a stale read:
reads may be some three seconds behind, and targets write every second or two. A larger
step back is no delayed read: another writer set the sequence of the entry."""


class Directory:
    """The directory entries of one leadership term; missing ones are kept for a while.

    It guards against an outage of the table service in which entries expire although
    their targets still run tasks. If those targets were dropped at once, all of their
    tasks would run twice.
    """

    def __init__(self, *, reports_by_id: Mapping[str, TargetReport]) -> None:
        """Start with the entries that an earlier leader sent."""
        self.reports_by_id: dict[str, TargetReport] = dict(reports_by_id)
        self._missing_since: dict[str, float] = {}

    def put(self, report: TargetReport, *, listed_incarnation: int = 0) -> bool:
        """Add or replace an entry; returns whether it differs from the previous one.

        An entry older than the known one is ignored: a stale read would restore the old
        capacity of a worker that has shrunk, or end a drain.

        :param listed_incarnation: the incarnation that listed its runs last; 0: not
            known.
        """
        self._missing_since.pop(report.target_id, None)
        known = self.reports_by_id.get(report.target_id)
        if known is not None and _is_stale(report, known, listed_incarnation):
            return False
        self.reports_by_id[report.target_id] = report
        return known != report

    def note_missing(self, target_id: str, now: float) -> bool:
        """Record that an entry is gone; returns whether it was present until now.

        :param now: time in seconds.
        """
        if target_id not in self.reports_by_id or target_id in self._missing_since:
            return False
        self._missing_since[target_id] = now
        return True

    def is_missing(self, target_id: str) -> bool:
        """Return whether a target has no entry but is still in its grace period."""
        return target_id in self._missing_since

    def overdue(self, now: float) -> Sequence[str]:
        """Return the targets whose grace period is over.

        :param now: time in seconds.
        """
        return [
            target_id
            for target_id, since in self._missing_since.items()
            if now - since >= MISSING_GRACE_S
        ]

    def remove(self, target_id: str) -> None:
        """Remove a target."""
        self._missing_since.pop(target_id, None)
        self.reports_by_id.pop(target_id, None)


def _is_stale(
    report: TargetReport, known: TargetReport, listed_incarnation: int
) -> bool:
    if report.incarnation == known.incarnation:
        return 0 < known.sequence - report.sequence <= MAX_STALE_REPORTS
    # A lower incarnation is an earlier one, unless the target itself answers with it:
    # the time of day may have been set back, or another writer has set the higher one.
    is_listed = listed_incarnation and report.incarnation == listed_incarnation
    return report.incarnation < known.incarnation and not is_listed
