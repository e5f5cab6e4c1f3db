"""What leading costs a host: bytes, waits and lateness, for metrics and the log.

Failure that it answers: a link or a processor that is full looks the same from
outside, as targets and followers that do not answer. Told apart are what is sent to
followers by kind, what waits for them, how late the event loop is, and how many
requests to targets get no answer.
"""

import time
from collections import Counter
from dataclasses import dataclass, field

from cassiaturn.observability import Event, FleetMetrics, log_event

LINE_EVERY_S = 1.0
"""Period of the line of a leader's load, in seconds: callers notice a second, and a
line a second is a 600th of what a process may write."""

BITS = 8

MEGA = 1_000_000

MOST_FOLLOWERS = 512
"""Followers that are counted apart, by name; those past it share one count."""

OTHERS = "others"
"""Name of that count."""


@dataclass(slots=True, kw_only=True)
class _Period:
    """What happened since the last line."""

    began_at: float
    """When it began, in seconds."""

    bytes_by_kind: Counter[str] = field(default_factory=Counter)
    """Bytes sent to followers, by kind of frame."""

    requests: int = 0
    """Requests to targets."""

    unanswered: int = 0
    """Those that got no answer in time."""

    called_bytes_before: int = 0
    """Bytes of calls when it began."""

    longest_wait_s: float = 0.0
    """Longest wait of a frame for its follower's stream, in seconds."""

    latest_s: float = 0.0
    """By how much the event loop was late at the most, in seconds."""


class LeaderLoad:
    """Counts what this member sends as the leader; one a process."""

    def __init__(self, *, metrics: FleetMetrics) -> None:
        """Start counting.

        :param metrics: shows the counts.
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
        """Begin a term; what was counted before is not part of its first line.

        :param called_bytes: bytes of all calls since the process began.
        """
        self._period = _Period(
            began_at=time.monotonic(), called_bytes_before=called_bytes
        )

    def count_frame(
        self, kind: str, member_id: str, size: int, waited_s: float
    ) -> None:
        """Count a frame to a follower.

        :param kind: of the frame, as the schema names it.
        :param member_id: the follower; counted by the name of its member.
        :param size: in bytes.
        :param waited_s: from when there was something to send, in seconds.
        """
        name = member_id.partition("/")[0]
        is_known = name in self.bytes_by_follower
        if not is_known and len(self.bytes_by_follower) >= MOST_FOLLOWERS:
            name = OTHERS
        self.bytes_by_follower[name] += size
        self.bytes_by_kind[kind] += size
        self.frames_by_kind[kind] += 1
        self._metrics.frame_sent(kind, waited_s)
        self._period.bytes_by_kind[kind] += size
        self._period.longest_wait_s = max(self._period.longest_wait_s, waited_s)

    def count_request(self, kind: str, answer_s: float | None) -> None:
        """Count a request to a target.

        :param kind: ``start``, ``stop`` or ``list``.
        :param answer_s: time until its answer, in seconds; None: it got none.
        """
        self.requests_by_kind[kind] += 1
        self._period.requests += 1
        if answer_s is None:
            self.unanswered_by_kind[kind] += 1
            self._period.unanswered += 1
        else:
            self._metrics.target_answered(kind, answer_s)

    def observe_loop_delay(self, late_s: float) -> None:
        """Count a timer of the event loop.

        :param late_s: by how much it fired late, in seconds.
        """
        self._metrics.loop_late(late_s)
        self._period.latest_s = max(self._period.latest_s, late_s)

    def log_if_due(
        self,
        *,
        followers: int,
        waiting: int,
        called_bytes: int,
        asks_first: bool = False,
    ) -> float | None:
        """Write the line of the last second, if it is over.

        :param followers: members that follow.
        :param waiting: frames that wait for the follower with the most of them.
        :param called_bytes: bytes of all calls since the process began.
        :param asks_first: whether new jobs wait for a confirmation now.
        :returns: what was sent in it, in megabits a second; None: it is not over.
        """
        now = time.monotonic()
        period = self._period
        if now - period.began_at < LINE_EVERY_S:
            return None
        called = called_bytes - period.called_bytes_before
        sent = called + sum(period.bytes_by_kind.values())
        sent_mbps = sent * BITS / MEGA / (now - period.began_at)
        self._period = _Period(began_at=now, called_bytes_before=called_bytes)
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
            late_ms=round(period.latest_s * 1000),
            asks_first=asks_first,
        )
        return sent_mbps
