"""Tells whether callers wait for a leader's processor, and how many starts it makes.

Load pattern: bursts in which a tenth of a second requests twice as many starts as the
leader makes, and loads of 1.5 to 3 times as many for seconds. A leader that judges by
the processor time that starts cost refuses jobs in the first case too, although all of
them would be in time.

Grounds: a pass over the queue that leaves jobs for which targets have room shows that
the processor is the limit, and only then do the starts of an interval tell how many it
can make. The part of its time that the first of these jobs has waited says whether
answers will be late. Neither depends on what a start costs, or on how the system
accounts for processor time.
"""

from collections import deque

from cassiaturn.sharing._due_order import Lateness

MAX_SAMPLE_S = 0.3
"""Longest interval that counts as a sample, in seconds: longer ones show a pause."""

RATE_WEIGHT = 0.2
"""Weight of the latest sample in the moving average of the starts made while jobs are
left: it spans about five samples, a quarter of a second."""

RECENT_SAMPLES = 10
"""Samples over which the starts made are averaged if jobs need not be left: those of
single ticks vary too much."""

SHOWN_DECAY = 0.98
"""Part of the highest such average that remains after one sample: a third is gone in a
second."""

TARGET_WAITED_SHARE = 0.5
"""Part of their time that jobs may wait for the processor while jobs are refused: the
rest is for what the wait varies by."""

WAIT_GAIN = 0.3
"""Change of the starts to accept, as a share of those that can be made, per unit of
difference from that part."""

MIN_BEHIND_S = 0.1
"""Time for which jobs must have been left in every pass before their wait counts, in
seconds: one pass that is cut short indicates a batch of jobs or of freed targets."""

CLEAR_SAMPLES = 2
"""Consecutive samples without jobs left unstarted after which the backlog is over."""


class StartBacklog:
    """Learns from passes over the queue whether the processor limits the starts."""

    def __init__(self) -> None:
        """Start with nothing left unstarted."""
        self.made_per_s = 0.0
        """Starts made per second while jobs were left unstarted; 0: none ever were."""

        self.shown_per_s = 0.0
        """Starts per second that were lately made over half a second. Work that recurs,
        such as a list for all followers, holds up starts for less."""

        self.waited_share = 0.0
        """Part of the time until its latest start in time that the first job left
        unstarted has waited; 0: no job is left for long."""

        self._behind_since: float | None = None
        self._limited_since: float | None = None
        self._limited_samples = 0
        self._longest_share = 0.0
        self._clear_samples = CLEAR_SAMPLES
        self._recent: deque[tuple[int, float]] = deque(maxlen=RECENT_SAMPLES)

    def behind_s(self, now: float) -> float:
        """Return for how long every pass has left jobs that could be in time.

        :param now: time in seconds.
        :returns: in seconds; 0: the last pass left none.
        """
        return 0.0 if self._behind_since is None else now - self._behind_since

    def limited_s(self, now: float) -> float:
        """Return for how long every pass has left any jobs.

        :param now: time in seconds.
        :returns: in seconds; 0: the last pass left none.
        """
        return 0.0 if self._limited_since is None else now - self._limited_since

    @property
    def is_clear(self) -> bool:
        """Whether no job has lately been left unstarted."""
        return self._clear_samples >= CLEAR_SAMPLES

    @property
    def sustained_per_s(self) -> float:
        """Starts per second that the process makes, or has lately made for a while."""
        return max(self.made_per_s, self.shown_per_s)

    @property
    def acceptable_per_s(self) -> float:
        """Starts per second to accept, so that the wait stays near its target."""
        excess = self.waited_share - TARGET_WAITED_SHARE
        return self.sustained_per_s * (1.0 - WAIT_GAIN * excess)

    def possible_per_s(self, planned_per_s: float) -> float:
        """Return the starts per second that the processor can make.

        :param planned_per_s: estimate for a process that has never been the limit.
        """
        if self._limited_since is not None and self.made_per_s:
            return self.made_per_s
        return max(planned_per_s, self.made_per_s)

    def note_pass(
        self, *, left: Lateness | None, waited_share: float, now: float
    ) -> None:
        """Note what a pass over the queue left although targets have room for it.

        :param left: the best lateness among these jobs; None: none was left.
        :param waited_share: part of its time that the first of them has waited.
        :param now: time in seconds.
        """
        if left is None:
            self._limited_since = None
        elif self._limited_since is None:
            self._limited_since = now
        if left is not Lateness.IN_TIME:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        self._longest_share = max(self._longest_share, waited_share)

    def observe(self, *, starts: int, elapsed_s: float, now: float) -> None:
        """Add the sample of one tick.

        :param starts: starts made since the previous sample.
        :param elapsed_s: time since then, in seconds.
        :param now: time in seconds.
        """
        limited_s = self.limited_s(now)
        self._clear_samples = 0 if limited_s else self._clear_samples + 1
        is_behind = self.behind_s(now) >= MIN_BEHIND_S
        self.waited_share = self._longest_share if is_behind else 0.0
        self._longest_share = 0.0
        if 0.0 < elapsed_s <= MAX_SAMPLE_S:
            self._learn_rate(starts, elapsed_s, is_limited=limited_s >= elapsed_s)

    def _learn_rate(self, starts: int, elapsed_s: float, *, is_limited: bool) -> None:
        self._recent.append((starts, elapsed_s))
        made, passed_s = (sum(column) for column in zip(*self._recent, strict=True))
        is_full = len(self._recent) == RECENT_SAMPLES
        recent_per_s = made / passed_s if is_full else 0.0
        self.shown_per_s = max(SHOWN_DECAY * self.shown_per_s, recent_per_s)
        if is_limited:
            self._limited_samples += 1
            weight = max(RATE_WEIGHT, 1.0 / self._limited_samples)
            self.made_per_s += weight * (starts / elapsed_s - self.made_per_s)
        elif self.made_per_s:
            self.made_per_s = max(self.made_per_s, recent_per_s)
