"""Tests of targets that start again under their id: nothing of before counts."""

import asyncio
from collections import Counter

from cassiaturn.entities import TaskRef
from cassiaturn.platform.tests.fleet import Fleet
from cassiaturn.platform.tests.standin_runner import StandinRunner

JOBS = [f"{number:016x}" for number in range(11, 19)]

COMPLETED = (200, '{"state":"completed"}')

LEASE_MS = 1_000
"""Length of a lease, in milliseconds."""


async def _restart_with_entries(fleet: Fleet, runner: StandinRunner) -> None:
    """Restart a runner that the leader has used, and wait until it is heard again."""
    fleet.publish(runner)
    for job_id in JOBS:
        assert (await fleet.submit(fleet.followers()[0], job_id, count=16))[:2] == (
            COMPLETED
        )
    assert runner.starts
    runner.starts.clear()
    runner.longest_lease_ms = 0
    await runner.restart()
    requests = runner.lease_requests
    await fleet.until(lambda: runner.lease_requests > requests)
    await fleet.until(lambda: fleet.count_reporting_targets() == len(fleet.runners))


def _restartable_runner(fleet: Fleet) -> StandinRunner:
    """Return the runner to restart, which tells when its process began."""
    runner = fleet.runners[0]
    runner.born_ms = 1_000
    return runner


def _repeated(fleet: Fleet) -> "Counter[TaskRef]":
    counts = Counter(ref for runner in fleet.runners for ref in runner.starts)
    return counts - Counter(dict.fromkeys(counts, 1))


async def test_leases_after_a_restart_count_by_the_new_clock(fleet: Fleet) -> None:
    """Guards against orders that stay in time for as long as a target was up before."""
    runner = _restartable_runner(fleet)
    await _restart_with_entries(fleet, runner)
    fleet.publish(runner)
    await asyncio.sleep(0.5)
    answers = await asyncio.gather(
        *(fleet.submit(fleet.followers()[0], f"{n:016x}", 4) for n in range(100, 104))
    )
    assert {answer[:2] for answer in answers} == {COMPLETED}
    assert runner.starts
    assert 0 < runner.longest_lease_ms <= LEASE_MS


async def test_ends_after_a_restart_are_read(fleet: Fleet) -> None:
    """Guards against ends that a target forgets by the numbers of its earlier process.

    Their tasks would run again.
    """
    runner = _restartable_runner(fleet)
    await _restart_with_entries(fleet, runner)
    fleet.publish(runner)
    await asyncio.sleep(0.5)
    for number in range(100, 104):
        answer = await fleet.submit(fleet.followers()[0], f"{number:016x}", count=16)
        assert answer[:2] == COMPLETED
    assert runner.starts
    assert not _repeated(fleet)


async def test_a_target_that_restarts_as_another_kind_gets_no_task_of_its_first(
    fleet: Fleet,
) -> None:
    """Guards against starts by the labels of an earlier process.

    The entry of the new one comes later than its first list, with a sequence that
    begins anew.
    """
    runner = _restartable_runner(fleet)
    runner.sequence = 4
    for other in fleet.runners[1:]:
        other.run_s = 0.3
    await _restart_with_entries(fleet, runner)
    step = {
        "count": 16,
        "cpu": 4_000,
        "memMb": 64,
        "estimatedMs": 50,
        "requirements": "a",
    }
    member = fleet.followers()[0]
    before_entry = asyncio.create_task(fleet.submit(member, f"{1:016x}", steps=[step]))
    await asyncio.sleep(0.1)
    assert not runner.starts
    runner.labels = ["b", "r1-1"]
    fleet.publish(runner)
    await asyncio.sleep(0.5)
    after_entry = await fleet.submit(member, f"{2:016x}", steps=[step])
    assert after_entry[:2] == (await before_entry)[:2] == COMPLETED
    assert not runner.starts
    step["requirements"] = "b"
    assert (await fleet.submit(member, f"{3:016x}", steps=[step]))[:2] == COMPLETED
    assert runner.starts
