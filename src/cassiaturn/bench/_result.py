"""The figures of one run, as a line and as values to compare."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cassiaturn.bench._message import MessageKind
from cassiaturn.bench._tally import P50, P99, ClassTally, Tally
from cassiaturn.bench._workload import SEED

DIGITS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class RunName:
    """Which dispatcher met which scenario at whose site."""

    user: str
    """The user whose site and traffic it is."""

    scenario: str
    """Name of the scenario."""

    dispatcher: str
    """Name of the dispatcher."""

    seed: int = SEED
    """Seed of the jobs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BenchResult:
    """What one run gave; made by :func:`result_of`, printed as one line."""

    name: RunName
    """The run."""

    figures: Mapping[str, float]
    """Figures by name, rounded; see :func:`result_of` for the names."""

    def line(self) -> str:
        """Return the result as one line of key=value pairs."""
        name = self.name
        head = (
            f"event=bench_result user={name.user} scenario={name.scenario}"
            f" dispatcher={name.dispatcher}"
        )
        return " ".join([head, *_pairs(self.figures)])


def result_of(name: RunName, tally: Tally) -> BenchResult:
    """Return the figures of a run.

    For each class: ``p50`` and ``p99`` of response time over ideal, ``in_time``
    (share of jobs complete by their deadline), ``admitted_in_time`` (the same of
    the admitted), ``refused`` (share refused at the door); the same for the jobs
    that the reference has too (``watched``) and for those of them that fit their
    tenant's quota (``within_quota``).

    For the run: ``useful`` (share of the slot time spent on jobs complete in
    time), ``busy`` (on any), ``wasted`` (messages a task), of which
    ``heartbeats`` and ``refused_starts``, ``forwarded`` and ``misplaced`` (a
    task), ``attempts`` (starts a task), ``ejections``, ``unfairness``, jobs
    refused by reason, and ``started_twice``.
    """
    figures: dict[str, float] = {}
    for request_class, of_class in tally.by_class.items():
        figures.update(_class_figures(request_class.name.lower(), of_class))
    figures.update(_class_figures("watched", tally.watched))
    figures.update(_class_figures("within_quota", tally.within_quota))
    begun = max(tally.tasks_begun, 1)
    figures.update(
        {
            "useful": tally.useful_share,
            "busy": tally.busy_share,
            "wasted": tally.wasted_per_task,
            "heartbeats": tally.per_task(MessageKind.HEARTBEAT),
            "refused_starts": tally.per_task(MessageKind.REFUSED_START),
            "forwarded": tally.per_task(MessageKind.FORWARD),
            "misplaced": tally.misplaced / begun,
            "attempts": tally.attempts,
            "ejections": float(tally.ejections),
            "unfairness": tally.unfairness,
            **{
                f"refused_{reason.name.lower()}": float(count)
                for reason, count in sorted(tally.refusals_by_reason.items())
            },
            "started_twice": float(tally.started_twice),
            "tasks": float(tally.tasks_begun),
        }
    )
    rounded = {key: round(value, DIGITS) for key, value in figures.items()}
    return BenchResult(name=name, figures=rounded)


def _class_figures(prefix: str, tally: ClassTally) -> Mapping[str, float]:
    if not tally.submitted:
        return {}
    asked = max(tally.submitted - tally.cancelled, 1)
    return {
        f"{prefix}_p50": tally.ratios.percentile(P50),
        f"{prefix}_p99": tally.ratios.percentile(P99),
        f"{prefix}_in_time": tally.in_time_share,
        f"{prefix}_admitted_in_time": tally.admitted_in_time_share,
        f"{prefix}_refused": tally.refused / asked,
    }


def _pairs(figures: Mapping[str, float]) -> Iterable[str]:
    return (f"{key}={value:g}" for key, value in figures.items())
