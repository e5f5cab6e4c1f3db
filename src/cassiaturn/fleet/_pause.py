"""Detects that a leader's process was paused, and who has answered it since.

Failure: a leader is paused with jobs in its queue. Its members elect another leader,
which starts those jobs elsewhere. When the first leader resumes, it has not heard of
that yet and starts them, too, on a target that its successor never reached. Here it
starts a member's job only after that member has answered a question that was asked
after the pause.
"""

from collections.abc import Collection

PAUSE_S = 0.3
"""Time without a turn of the event loop after which a leader may have lost jobs to
another one, in seconds. A caller whose connection broke submits its job elsewhere after
1.3 s, and a run that was started after a shorter pause has a lease of 1 s."""

REPEAT_S = 1.0
"""How soon after a pause another one counts as a repetition, in seconds."""

REPEATED_PAUSE_S = 0.75
"""The same as ``PAUSE_S`` for a repetition, in seconds: followers may have left by
then. On a host so slow that each turn takes 0.3 s, a leader that asked after each of
them would never start anything."""

ANSWER_WAIT_S = 0.3
"""How long a leader waits after a pause for members that cannot answer, or if it has
none, in seconds: two heartbeats, in which it hears of another leader."""


class PauseHold:
    """The members that have not answered a leader since its last pause.

    Times are monotonic, in seconds.
    """

    def __init__(self, *, own_id: str, now: float) -> None:
        """Start with a leader that was not paused.

        :param own_id: the leader's own member id. Its callers' jobs may have been
            submitted elsewhere like those of any other member, so they wait until any
            member has answered.
        """
        self.unheard: set[str] = set()
        """Members whose jobs must not start. The set object stays the same."""

        self.number = 0
        """Number of the last pause; members repeat it in their answers."""

        self.began_at = float("-inf")
        """When the last pause was noticed."""

        self._own_id = own_id
        self._turned_at = now
        self._was_followed = False

    @property
    def holds_all(self) -> bool:
        """Whether nobody has answered since the last pause."""
        return self._own_id in self.unheard

    def is_paused(self, now: float) -> bool:
        """Return whether the process was paused and :meth:`turn` has not noticed yet.

        An event may be handled before the timer that notices the pause.
        """
        is_repeated = self._turned_at - self.began_at < REPEAT_S
        least_s = REPEATED_PAUSE_S if is_repeated else PAUSE_S
        return now - self._turned_at >= least_s

    def turn(self, now: float) -> float:
        """Record a turn of the event loop.

        :returns: the length of the pause that ends with it; 0 if there was none.
        """
        paused_s = now - self._turned_at if self.is_paused(now) else 0.0
        self._turned_at = now
        return paused_s

    def begin(self, now: float, followers: Collection[str]) -> None:
        """Hold the jobs of all members until they have answered.

        :param followers: the members to be asked.
        """
        self.number += 1
        self.began_at = now
        self._was_followed = bool(followers)
        self.unheard.update(followers, [self._own_id])

    def note_answer(self, member_id: str, number: int) -> bool:
        """Record a member's answer.

        :param number: the pause that it answers.
        :returns: whether jobs may start that had to wait.
        """
        if number < self.number or not self.unheard:
            return False
        before = len(self.unheard)
        self.unheard.difference_update([member_id, self._own_id])
        return len(self.unheard) < before

    def counts_as_answer(self, now: float, *, heard_at: float) -> bool:
        """Return whether a member that cannot answer counts as having answered.

        :param heard_at: when it was last heard.
        """
        return self._is_wait_over(now) and heard_at > self.began_at

    def end_alone(self, now: float, followers: Collection[str]) -> bool:
        """End the hold of a leader that nobody is left to answer.

        :param followers: the current followers.
        :returns: whether the hold ended and all who were asked have left, so that the
            jobs that waited may run under another leader.
        """
        if not self.holds_all or followers or not self._is_wait_over(now):
            return False
        self.unheard.clear()
        return self._was_followed

    def _is_wait_over(self, now: float) -> bool:
        return now >= self.began_at + ANSWER_WAIT_S
