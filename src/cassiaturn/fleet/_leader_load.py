"""Measures the load of leading, for metrics and the log.

Load pattern: the leader's link or its processor is saturated. Without these figures
both look the same from outside: targets and followers that do not answer.

Grounds: bytes sent to followers by kind of frame, and frames queued for them, show a
full link. The delay of the event loop shows a full processor. Requests to targets
without an answer show the effect of either. Processor time beside the starts made tells
what a start costs; the waits of jobs tell whether its callers notice.
"""

import time
from collections import Counter
from dataclasses import dataclass, field

from cassiaturn.fleet._cpu_clock import cpu_time_s
from cassiaturn.observability import Event, FleetMetrics, log_event
from cassiaturn.workload import StartCounts

LOG_PERIOD_S = 1.0
"""Period of the load log line, in seconds: callers notice an overload that lasts a
second, and one line a second is a 600th of what a process may log."""

BITS_PER_BYTE = 8

BITS_PER_MEGABIT = 1_000_000

MAX_FOLLOWER_LABELS = 512
"""Number of followers with a metric label of their own; further ones share one."""

OTHER_FOLLOWERS_LABEL = "others"
"""The shared label."""


@dataclass(slots=True, kw_only=True)
class _Period:
    """Counts since the last log line."""

    began_at: float
    """Monotonic time of its start, in seconds."""

    bytes_by_kind: Counter[str] = field(default_factory=Counter)
    """Bytes sent to followers, by kind of frame."""

    requests: int = 0
    """Requests sent to targets."""

    unanswered: int = 0
    """Requests to targets that got no answer in time."""

    called_bytes_at_start: int = 0
    """Bytes of all calls up to the start of the period."""

    longest_wait_s: float = 0.0
    """Longest time that a frame was queued for its follower's stream, in seconds."""

    max_loop_delay_s: float = 0.0
    """Largest delay of the event loop, in seconds."""

    started: StartCounts = field(default_factory=StartCounts)
    """Starts, and answers of jobs that were started in time."""

    requested_starts: int = 0
    """Tasks of the new jobs that reached this leader."""

    cpu_s_at_start: float = field(default_factory=cpu_time_s)
    """Processor time of the process up to the start of the period, in seconds."""


class LeaderLoad:
    """Counts what this member sends as the leader; one instance per process."""

    def __init__(self, *, metrics: FleetMetrics) -> None:
        """Register the counts as metrics.

        :param metrics: exposes the counts.
        """
        self.bytes_by_kind: Counter[str] = Counter()
        self.frames_by_kind: Counter[str] = Counter()
        self.bytes_by_follower: Counter[str] = Counter()
        self.requests_by_kind: Counter[str] = Counter()
        self.unanswered_by_kind: Counter[str] = Counter()
        self._metrics = metrics
        self._period = _Period(began_at=time.monotonic())
        for name, description, counts in (
            ("follower_bytes", "Bytes sent to followers.", self.bytes_by_kind),
            ("follower_frames", "Frames sent to followers.", self.frames_by_kind),
            ("bytes_to", "Bytes sent to each follower.", self.bytes_by_follower),
            ("target_requests", "Requests to targets.", self.requests_by_kind),
            ("target_unanswered", "Those without answer.", self.unanswered_by_kind),
        ):
            metrics.observe_counts(f"cassiaturn.{name}", description, counts.copy)

    def begin_term(self, *, called_bytes: int) -> None:
        """Start a term; its first log line leaves out what was counted before.

        :param called_bytes: bytes of all calls since the process started.
        """
        self._period = _Period(
            began_at=time.monotonic(), called_bytes_at_start=called_bytes
        )

    def count_frame(
        self, kind: str, member_id: str, size: int, waited_s: float
    ) -> None:
        """Count a frame sent to a follower.

        :param kind: kind of the frame, as named in the schema.
        :param member_id: the follower; counted by its member name alone.
        :param size: size of the frame in bytes.
        :param waited_s: time that the frame was queued, in seconds.
        """
        name = member_id.partition("/")[0]
        is_known = name in self.bytes_by_follower
        if not is_known and len(self.bytes_by_follower) >= MAX_FOLLOWER_LABELS:
            name = OTHER_FOLLOWERS_LABEL
        self.bytes_by_follower[name] += size
        self.bytes_by_kind[kind] += size
        self.frames_by_kind[kind] += 1
        self._metrics.frame_sent(kind, waited_s)
        self._period.bytes_by_kind[kind] += size
        self._period.longest_wait_s = max(self._period.longest_wait_s, waited_s)

    def count_request(self, kind: str, answer_s: float | None) -> None:
        """Count a request to a target.

        :param kind: ``start``, ``stop`` or ``list``.
        :param answer_s: time until its answer, in seconds; None if it got none.
        """
        self.requests_by_kind[kind] += 1
        self._period.requests += 1
        if answer_s is None:
            self.unanswered_by_kind[kind] += 1
            self._period.unanswered += 1
        else:
            self._metrics.target_answered(kind, answer_s)

    def observe_loop_delay(self, late_s: float) -> None:
        """Record the delay of the event loop.

        :param late_s: by how much a timer fired late, in seconds.
        """
        self._metrics.loop_late(late_s)
        self._period.max_loop_delay_s = max(self._period.max_loop_delay_s, late_s)

    def count_submission(self, starts: int) -> None:
        """Count a new job that has reached this leader.

        :param starts: number of its tasks, each of which is one start.
        """
        self._period.requested_starts += starts

    def count_starts(self, counts: StartCounts) -> None:
        """Add the starts and answers of a tick."""
        self._period.started.add(counts)

    def log_if_due(
        self,
        *,
        followers: int,
        waiting: int,
        called_bytes: int,
        asks_first: bool = False,
    ) -> float | None:
        """Write the load log line and start a new period, if the current one is over.

        :param followers: number of members that follow.
        :param waiting: frames queued for the follower with the longest queue.
        :param called_bytes: bytes of all calls since the process started.
        :param asks_first: whether new jobs currently wait for a confirmation.
        :returns: the send rate of the period in megabits per second; None if the period
            is not over.
        """
        now = time.monotonic()
        period = self._period
        if now - period.began_at < LOG_PERIOD_S:
            return None
        called = called_bytes - period.called_bytes_at_start
        sent = called + sum(period.bytes_by_kind.values())
        sent_mbps = sent * BITS_PER_BYTE / BITS_PER_MEGABIT / (now - period.began_at)
        self._period = _Period(began_at=now, called_bytes_at_start=called_bytes)
        started = period.started
        log_event(
            Event.LEADER_LOAD,
            period_s=now - period.began_at,
            followers=followers,
            **{
                f"{kind}_b": size for kind, size in sorted(period.bytes_by_kind.items())
            },
            calls_b=called,
            sent_mbps=round(sent_mbps, 2),
            requests=period.requests,
            unanswered=period.unanswered,
            waiting=waiting,
            longest_wait_ms=round(period.longest_wait_s * 1000),
            late_ms=round(period.max_loop_delay_s * 1000),
            asks_first=asks_first,
            requested=period.requested_starts,
            starts=started.starts,
            cpu_cores=round(
                (cpu_time_s() - period.cpu_s_at_start) / (now - period.began_at), 3
            ),
            jobs=started.jobs,
            late_jobs=started.late_jobs,
            mean_wait_ms=round(started.waited_s / max(1, started.jobs) * 1000),
            max_wait_ms=round(started.longest_wait_s * 1000),
            answers=started.answers,
            late_answers=started.late_answers,
        )
        return sent_mbps
