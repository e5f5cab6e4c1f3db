"""Tests of planned changes of leader while targets do not answer."""

import asyncio

from cassiaturn.platform.tests.fleet import Fleet

JOB = "5c0e7a21d94b36f8"

COMPLETED = (200, '{"state":"completed"}')

WORKER_SIZED_TASKS = {"count": 8, "cpu": 12_000, "memMb": 64, "estimatedMs": 200}
"""A group that leaves room for one task on each of the fleet's targets."""


async def test_a_job_goes_on_although_a_target_never_answered_its_first_leader(
    fleet: Fleet,
) -> None:
    """Guards against jobs given up at a planned change during a partition.

    One target answers nobody. The first leader has never heard it, so that it has no
    runs there, and the successor need not wait for it with the job's waiting tasks.
    """
    silent, *answering = fleet.runners
    silent.silent = True
    for runner in answering:
        runner.run_s = 0.2
    await fleet.leader().member.stop()
    first = fleet.leader()
    await fleet.until(lambda: fleet.count_reporting_targets() == 3)
    submitter = next(
        member for member in fleet.followers() if not member.member.is_stopping
    )
    waiting = asyncio.ensure_future(
        fleet.submit(submitter, JOB, steps=[WORKER_SIZED_TASKS])
    )
    await fleet.until(lambda: sum(len(runner.starts) for runner in answering) == 3)
    await first.member.stop()
    assert fleet.leader() is not first
    assert (await waiting)[:2] == COMPLETED
    assert sum(len(runner.starts) for runner in answering) == 8
