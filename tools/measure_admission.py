"""Measures the processor time of one submission that is admitted or refused.

Each target is full, so every submission is forecast behind the runs and the queue.
"""

import time
from dataclasses import replace

from cassiaturn.entities import Route
from cassiaturn.standins.virtual_targets import ROUTE, VirtualLeader
from cassiaturn.workload import Verdict, WorkloadSettings

TARGETS = (176, 300, 1_400)

QUEUED = (0, 2_000)

SUBMISSIONS = 400

MICROSECONDS = 1_000_000

REPEATS = 3
"""Plays of which the fastest counts: other processes disturb single ones."""

PATIENT = replace(ROUTE, latency_objective_s=60.0)
"""Jobs of this route are admitted behind any queue of a measurement."""


def measure(
    admission: str, targets: int, queued: int, *, route: Route
) -> tuple[float, int]:
    """Return the cost of a submission in microseconds, and how many were refused."""
    play = VirtualLeader(settings=WorkloadSettings(admission=admission))
    for number in range(targets):
        play.add_target(f"t{number}", cpu=24_000)
    play.run(0.2)
    for number in range(3 * targets):
        play.submit(f"r{number}", run_s=4.0, limit_s=60.0, cpu=8_000, route=PATIENT)
    play.run(0.1)
    play.auto_dispatch = False
    for number in range(queued):
        play.submit(f"q{number}", run_s=1.0, limit_s=60.0, cpu=8_000, route=PATIENT)
    began_s = time.process_time()
    for number in range(SUBMISSIONS):
        play.submit(f"s{number}", run_s=0.2, limit_s=60.0, cpu=8_000, route=route)
    cost_us = (time.process_time() - began_s) / SUBMISSIONS * MICROSECONDS
    refused = sum(
        play.verdict(f"s{number}") is Verdict.REFUSED for number in range(SUBMISSIONS)
    )
    return cost_us, refused


def main() -> None:
    """Print one line per policy, number of targets and length of the queue."""
    for admission in ("backlog", "forecast"):
        for targets in TARGETS:
            for queued in QUEUED:
                for route in (PATIENT, ROUTE):
                    cost_us, refused = min(
                        measure(admission, targets, queued, route=route)
                        for _ in range(REPEATS)
                    )
                    print(
                        f"{admission:9} targets={targets:5} queued={queued:5}"
                        f" refused={refused:3}/{SUBMISSIONS} us={cost_us:.0f}"
                    )


if __name__ == "__main__":
    main()
