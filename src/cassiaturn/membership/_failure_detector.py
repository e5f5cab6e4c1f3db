"""Failure detection by silence: a member is suspected, then gone, then forgotten.

The silence of a member is the time since its last frame, counted only from when it is
expected to send: since it is a neighbour, or else since it is probed.
"""

import math

from cassiaturn.membership._rows import MemberRow
from cassiaturn.membership._settings import MembershipSettings


def record_link(row: MemberRow, now: float, *, linked: bool) -> None:
    """Record whether a member is a neighbour and therefore has to send heartbeats.

    :param now: monotonic time, in seconds.
    """
    if not linked:
        row.linked_at = None
    elif row.linked_at is None:
        row.linked_at = now


def suspect(row: MemberRow, silent_since: float) -> None:
    """Mark a member as suspected and as probed, unless it is gone.

    :param silent_since: start of its silence in monotonic time, in seconds.
    """
    if row.gone_at is not None:
        return
    row.suspected = True
    if row.probed_since is None:
        row.probed_since = silent_since


def evaluate(row: MemberRow, now: float, settings: MembershipSettings) -> float:
    """Update the state of a member from the length of its silence.

    :param now: monotonic time, in seconds.
    :returns: monotonic time of the next evaluation, in seconds; infinite if the
        member is not expected to send anything.
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
    timeout_s = settings.gone_after_s if row.suspected else settings.suspect_after_s
    return since + timeout_s


def expire_silence(row: MemberRow, silent_since: float) -> None:
    """Move the start of a member's silence back, so that its timeout ends earlier.

    :param silent_since: new start of the silence in monotonic time, in seconds.
    """
    if row.heard_at is not None:
        row.heard_at = min(row.heard_at, silent_since)
    if row.linked_at is not None:
        row.linked_at = min(row.linked_at, silent_since)
    row.probed_since = silent_since


def is_expired(row: MemberRow, now: float, settings: MembershipSettings) -> bool:
    """Return whether a member was gone long enough to be forgotten.

    :param now: monotonic time, in seconds.
    """
    if row.gone_at is None:
        return False
    return now - row.gone_at >= settings.forget_after_s


def exclude_pause(row: MemberRow, pause_s: float) -> None:
    """Subtract a pause of this process from the silence of a member.

    :param pause_s: length of the pause, in seconds.
    """
    if row.heard_at is not None:
        row.heard_at += pause_s
    if row.probed_since is not None:
        row.probed_since += pause_s
    if row.linked_at is not None:
        row.linked_at += pause_s


def silent_since(row: MemberRow) -> float | None:
    """Return the start of a member's silence, or None if it need not send anything."""
    expected_since = row.linked_at if row.linked_at is not None else row.probed_since
    if expected_since is None or row.heard_at is None:
        return expected_since
    return max(expected_since, row.heard_at)
