"""What the callers of a shared play got: in all, by kind, by window and by size."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import pairwise
from typing import NamedTuple

from cassiaturn.bench._shared_load import (
    LATE_FACTOR,
    SharedJob,
    SharedLoad,
    SharedSite,
)
from cassiaturn.standins.virtual_targets import VirtualLeader
from cassiaturn.workload import Verdict

WINDOW_S = 2.0
"""Length of the windows of which the two worst are told, in seconds."""

LATE_SHARE = 0.2
"""Worth of a late answer, as a share of one in time."""


@dataclass(slots=True, kw_only=True)
class SharedTally:
    """What the callers of one kind, or of one window, got."""

    owed: float = 0.0
    """Worth of all answers, had they been in time."""

    earned: float = 0.0
    """Worth of the answers that came."""

    jobs: int = 0
    """Submitted."""

    in_time: int = 0
    """Complete within their time due."""

    late: int = 0
    """Complete later, within three times that and their callers' limit."""

    refused: int = 0
    """Not run."""

    @property
    def share(self) -> float:
        """Worth earned over worth owed."""
        return self.earned / self.owed if self.owed else 1.0


class SizeClass(Enum):
    """Jobs of one kind by their work."""

    REST = auto()
    """The smaller seven tenths."""

    NEXT_FIFTH = auto()
    """The fifth below the largest tenth."""

    LARGEST_TENTH = auto()
    """Those with the most work."""


class SizedAnswer(NamedTuple):
    """What the caller of one job got."""

    work: float
    """Of the job, in core-seconds."""

    is_served: bool
    """Whether it was complete within the caller's limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedResult:
    """What a play gave."""

    user: str
    """Whose site."""

    load: str
    """What was asked for."""

    variant: str
    """Who decided."""

    whole: SharedTally
    """Of all callers."""

    by_kind: Mapping[str, SharedTally]
    """Of each kind's callers."""

    by_window: Mapping[int, SharedTally]
    """Of the callers of each window, by its number."""

    answers_by_kind: Mapping[str, Sequence[SizedAnswer]]
    """What each caller got, by kind."""

    @property
    def worst_windows(self) -> float:
        """Mean share of the two worst windows."""
        shares = sorted(tally.share for tally in self.by_window.values())
        return sum(shares[:2]) / 2

    def figures(self) -> Mapping[str, float]:
        """Return the figures to compare, by name."""
        worst = min(tally.share for tally in self.by_kind.values())
        return {
            "worth_in_time": round(self.whole.share, 4),
            "worst_windows_in_time": round(self.worst_windows, 4),
            "worst_kind_in_time": round(worst, 4),
            "refused": round(self.whole.refused / self.whole.jobs, 4),
        }

    def line(self) -> str:
        """Return it as one line of key=value pairs."""
        kinds = " ".join(
            f"{name}={tally.in_time}+{tally.late}/{tally.jobs}"
            for name, tally in self.by_kind.items()
        )
        figures = " ".join(f"{key}={value}" for key, value in self.figures().items())
        return (
            f"event=bench_shared user={self.user} load={self.load}"
            f" variant={self.variant} {figures} {kinds}"
        )


def served_by_size(result: SharedResult, kind: str) -> Mapping[SizeClass, float]:
    """Return the share of a kind's callers that are served, by the work of their jobs.

    :param kind: name of the kind.
    """
    answers = sorted(result.answers_by_kind[kind], key=lambda answer: answer.work)
    count = len(answers)
    bounds = [0, round(0.7 * count), round(0.9 * count), count]
    by_size = {}
    for size, (begin, end) in zip(SizeClass, pairwise(bounds), strict=True):
        part = answers[begin:end]
        by_size[size] = sum(answer.is_served for answer in part) / max(1, len(part))
    return by_size


@dataclass(slots=True)
class _Tallies:
    whole: SharedTally = field(default_factory=SharedTally)
    by_kind: dict[str, SharedTally] = field(default_factory=dict)
    by_window: dict[int, SharedTally] = field(default_factory=dict)
    answers_by_kind: dict[str, list[SizedAnswer]] = field(default_factory=dict)


def tally(
    site: SharedSite,
    load: SharedLoad,
    variant: str,
    jobs: list[SharedJob],
    play_of: Callable[[SharedJob], VirtualLeader],
) -> SharedResult:
    """Count what callers got.

    :param play_of: returns the play that a job was handed in to.
    """
    tallies = _Tallies()
    for job in jobs:
        window = int(job.arrives_at / WINDOW_S)
        for counted in (
            tallies.whole,
            tallies.by_kind.setdefault(job.kind.name, SharedTally()),
            tallies.by_window.setdefault(window, SharedTally()),
        ):
            _count(counted, job, play_of(job))
        answers = tallies.answers_by_kind.setdefault(job.kind.name, [])
        answers.append(SizedAnswer(job.work, _is_served(job, play_of(job))))
    return SharedResult(
        user=site.user,
        load=load.name,
        variant=variant,
        whole=tallies.whole,
        by_kind=tallies.by_kind,
        by_window=tallies.by_window,
        answers_by_kind=tallies.answers_by_kind,
    )


def _took_s(job: SharedJob, play: VirtualLeader) -> float:
    return play.answered_at[job.job_id] - play.submitted_at[job.job_id]


def _is_served(job: SharedJob, play: VirtualLeader) -> bool:
    is_complete = play.verdict(job.job_id) is Verdict.COMPLETED
    return is_complete and _took_s(job, play) <= job.limit_s


def _count(tally: SharedTally, job: SharedJob, play: VirtualLeader) -> None:
    tally.jobs += 1
    tally.owed += job.full_worth
    verdict = play.verdict(job.job_id)
    if verdict is Verdict.REFUSED:
        tally.refused += 1
    if not _is_served(job, play):
        return
    took_s = _took_s(job, play)
    if took_s <= job.due_s:
        tally.in_time += 1
        tally.earned += job.full_worth
    elif took_s <= LATE_FACTOR * job.due_s:
        tally.late += 1
        tally.earned += LATE_SHARE * job.full_worth
