"""Tests of jobs that their callers cancel: nothing of them starts after that."""

import asyncio

import pytest

from cassiaturn.platform.tests.fleet import PREFIX, Fleet, RunningMember

JOB = "5c0e7a21d94b36f8"

FAILED = (200, '{"state":"failed"}')


def _starts(fleet: Fleet) -> int:
    return sum(len(runner.starts) for runner in fleet.runners)


def _running(fleet: Fleet) -> int:
    return sum(len(runner.target.runs_by_ref) for runner in fleet.runners)


async def _submit_and_cancel(
    fleet: Fleet, member: RunningMember, cancelled_at: RunningMember
) -> tuple[int, str, str]:
    """Submit a job, cancel it while it runs, and return the answer to its request."""
    for runner in fleet.runners:
        runner.run_s = 1.0
    waiting = asyncio.ensure_future(fleet.submit(member, JOB))
    await fleet.until(lambda: _running(fleet) == 2)
    status, _, _ = await fleet.request(cancelled_at, "DELETE", PREFIX + JOB)
    assert status == 200
    await fleet.until(lambda: not _running(fleet))
    return await waiting


@pytest.mark.parametrize("change", ["none", "kill", "stop"])
@pytest.mark.parametrize("copy_at", [0, 1])
async def test_a_copy_of_a_cancelled_jobs_request_starts_nothing(
    fleet: Fleet, copy_at: int, change: str
) -> None:
    """Guards against a cancelled job that runs when its request arrives once more.

    The copy arrives at any member, and under the leader or its successor.
    """
    member = fleet.followers()[0]
    assert (await _submit_and_cancel(fleet, member, member))[:2] == FAILED
    if change == "kill":
        await fleet.kill(fleet.leader())
    elif change == "stop":
        await fleet.leader().member.stop()
    ready = [row for row in fleet.members if not row.member.is_stopping]
    await fleet.until(lambda: all(row.member.is_ready for row in ready))
    others = [row for row in ready if row is not member]
    answer = await fleet.submit([member, others[0]][copy_at], JOB)
    assert answer[:2] == FAILED
    assert _starts(fleet) == 2


@pytest.mark.parametrize("submitted_at", [0, 1, 2])
@pytest.mark.parametrize("distance", [1, 2])
async def test_a_cancel_reaches_a_job_of_another_member(
    fleet: Fleet, submitted_at: int, distance: int
) -> None:
    """Guards against a job that runs on since its cancel came to another member."""
    member = fleet.members[submitted_at]
    other = fleet.members[(submitted_at + distance) % 3]
    assert (await _submit_and_cancel(fleet, member, other))[:2] == FAILED
    again, _, _ = await fleet.request(other, "DELETE", PREFIX + JOB)
    assert again == 200


async def test_a_cancel_that_is_read_before_its_job_holds(fleet: Fleet) -> None:
    """Guards against a job that starts after its cancel, which overtook its request."""
    first, second, third = fleet.members
    status, _, _ = await fleet.request(first, "DELETE", PREFIX + JOB)
    assert status == 410
    for member in (first, second, third):
        assert (await fleet.submit(member, JOB))[:2] == FAILED
    assert _starts(fleet) == 0
