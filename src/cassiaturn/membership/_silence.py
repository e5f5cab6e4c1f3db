"""How a silence is judged: suspected first, then gone, then forgotten."""

import math

from cassiaturn.membership._rows import MemberRow
from cassiaturn.membership._settings import MembershipSettings


def note_link(row: MemberRow, now: float, *, linked: bool) -> None:
    """Note whether a member is a neighbour, who is expected to speak.

    :param now: monotonic time, in seconds.
    """
    if not linked:
        row.linked_at = None
    elif row.linked_at is None:
        row.linked_at = now


def suspect(row: MemberRow, silent_since: float) -> None:
    """Suspect a member, and ask it to speak if it is no neighbour.

    :param silent_since: monotonic time, in seconds.
    """
    if row.gone_at is not None:
        return
    row.suspected = True
    if row.probed_since is None:
        row.probed_since = silent_since


def judge(row: MemberRow, now: float, settings: MembershipSettings) -> float:
    """Set what a member's silence means by now.

    :param now: monotonic time, in seconds.
    :returns: when it has to be judged again.
    """
    since = silent_since(row)
    if row.gone_at is None and since is not None:
        silent_s = now - since
        if silent_s >= settings.suspect_after_s:
            suspect(row, since)
        if row.suspected and silent_s >= settings.gone_after_s:
            row.gone_at = now
    if row.gone_at is not None:
        return row.gone_at + settings.forget_after_s
    if since is None:
        return math.inf
    patience_s = settings.gone_after_s if row.suspected else settings.suspect_after_s
    return since + patience_s


def end_patience(row: MemberRow, silent_since: float) -> None:
    """Let a member be judged as if it had been silent since a time.

    :param silent_since: monotonic time, in seconds.
    """
    if row.heard_at is not None:
        row.heard_at = min(row.heard_at, silent_since)
    if row.linked_at is not None:
        row.linked_at = min(row.linked_at, silent_since)
    row.probed_since = silent_since


def is_stale(row: MemberRow, now: float, settings: MembershipSettings) -> bool:
    """Whether a member was gone long enough to be forgotten."""
    if row.gone_at is None:
        return False
    return now - row.gone_at >= settings.forget_after_s


def forgive(row: MemberRow, gap_s: float) -> None:
    """Take out of a silence the time in which this process stood still itself."""
    if row.heard_at is not None:
        row.heard_at += gap_s
    if row.probed_since is not None:
        row.probed_since += gap_s
    if row.linked_at is not None:
        row.linked_at += gap_s


def silent_since(row: MemberRow) -> float | None:
    """Return since when silence counts, for those who are expected to speak."""
    asked_at = row.linked_at if row.linked_at is not None else row.probed_since
    if asked_at is None or row.heard_at is None:
        return asked_at
    return max(asked_at, row.heard_at)
