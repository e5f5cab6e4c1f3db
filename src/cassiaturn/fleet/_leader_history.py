"""Remembers which leaders may still have runs of this member's jobs.

Failure: a network partition heals, and a member passes its jobs on from the leader of
one side to that of the other. The new leader has heard every target of its own side and
concludes that nothing runs, although the tasks run on targets that it does not know.
With the tokens of the leaders that had a job, it can tell whether the lists that it has
read contain all runs of that job.
"""

from collections import deque
from typing import NamedTuple

from cassiaturn.workload import INHERITED_HOLD_S


class _FollowedLeader(NamedTuple):
    token: int
    left_at: float


class LeaderHistory:
    """The leaders that a member has left, latest last."""

    def __init__(self) -> None:
        """Start without any."""
        self._followed: deque[_FollowedLeader] = deque()

    def note_left(self, token: int, now: float) -> None:
        """Record that this member has left a leader.

        :param token: the last token of that leader.
        :param now: monotonic time in seconds.
        """
        # The runs of a leader that was left longer ago have ended, or belong to the
        # leader after it.
        while self._followed and now - self._followed[0].left_at >= INHERITED_HOLD_S:
            self._followed.popleft()
        self._followed.append(_FollowedLeader(token, now))

    def tokens_since(self, since: float, now: float) -> frozenset[int]:
        """Return the tokens of the leaders that may have runs of a job.

        :param since: when the job was first passed to a leader, in monotonic seconds.
        :param now: monotonic time in seconds.
        :returns: never empty if the job was passed to a leader that was left.
        """
        if not self._followed:
            return frozenset()
        recent = {
            leader.token
            for leader in self._followed
            if leader.left_at >= since and now - leader.left_at < INHERITED_HOLD_S
        }
        return frozenset({*recent, self._followed[-1].token})
