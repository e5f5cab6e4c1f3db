"""Processor time of a leader's decisions for each start, by number of targets.

Prints one line a size: microseconds for a start from its submission to its end, with
nine tenths of the places in use. No network; the calls to targets come on top.
"""

import time

from cassiaturn import workload
from cassiaturn.entities import (
    EndedRun,
    JobRequest,
    LeaseReport,
    Resources,
    Route,
    RunEnd,
    StartAnswer,
    TargetReport,
    TaskGroup,
)
from cassiaturn.observability import Event
from cassiaturn.workload import (
    Job,
    Outcome,
    Run,
    StartOrder,
    Submission,
    Tables,
    WorkloadSettings,
)

SIZES = (24, 96, 384, 1_400)

STARTS = 4_000

TASKS_PER_JOB = 8

ROUTE = Route(name="r", host="", prefix="/", service="s", max_attempts=2)


class Sink:
    """Keeps the orders, and nothing else."""

    def __init__(self) -> None:
        self.orders: list[StartOrder] = []

    def start(self, order: StartOrder) -> None:
        """Keep an order."""
        self.orders.append(order)

    def stop(self, run: Run) -> None:
        """Order nothing."""

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Tell nobody."""

    def record(self, event: Event, **fields: object) -> None:
        """Log nothing."""


def measure(targets: int) -> float:
    """Return the microseconds for one start.

    :param targets: how many the leader holds.
    """
    sink = Sink()
    tables = Tables(settings=WorkloadSettings(), term=0, began_at=0.0)
    capacity = Resources(cpu_millis=16_000, memory_mib=64_000)
    for index in range(targets):
        name = f"t{index}"
        report = TargetReport(
            target_id=name,
            address=name,
            service="s",
            failure_domain="d",
            capacity=capacity,
        )
        workload.on_target_report(tables, sink, report)
        tables.targets_by_id[name].has_reported = True
    group = TaskGroup(
        count=TASKS_PER_JOB,
        resources=Resources(cpu_millis=6_800, memory_mib=64),
        expected_run_s=0.06,
    )
    sequences = dict.fromkeys(tables.targets_by_id, 0)
    keep = int(targets * 2 * 0.9)
    number = 0
    began = time.process_time()
    while number < STARTS:
        request = JobRequest(
            job_id=f"{number:016x}", payload="", groups=(group,), must_be_stored=False
        )
        submission = Submission(
            request=request, route=ROUTE, origin="m", waited_s=0.0, limit_s=100.0
        )
        workload.submit(tables, sink, submission, 1.0)
        workload.dispatch(tables, sink, 1.0)
        number += TASKS_PER_JOB
        while len(sink.orders) > keep:
            _end(tables, sink, sink.orders.pop(0), sequences)
    return (time.process_time() - began) / number * 1e6


def _end(
    tables: Tables, sink: Sink, order: StartOrder, sequences: dict[str, int]
) -> None:
    target_id = order.target_id
    workload.on_start_answer(
        tables, sink, target_id, order.ref, order.number, StartAnswer.STARTED, 1.0
    )
    sequences[target_id] += 1
    ended = EndedRun(
        sequence=sequences[target_id],
        ref=order.ref,
        run=order.number,
        end=RunEnd.DONE,
    )
    report = LeaseReport(clock_ms=0, running=(), ended=(ended,))
    workload.on_lease_report(tables, sink, target_id, report, asked_at=1.0, now=1.0)


def main() -> None:
    """Measure every size."""
    for size in SIZES:
        print(f"targets={size} us_per_start={measure(size):.1f}")


if __name__ == "__main__":
    main()
