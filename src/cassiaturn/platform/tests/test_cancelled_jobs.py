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


@pytest.mark.parametrize("change", ["none", "stop"])
@pytest.mark.parametrize("copy_at", [0, 1])
async def test_a_copy_of_a_cancelled_jobs_request_starts_nothing(
    fleet: Fleet, copy_at: int, change: str
) -> None:
    """Guards against a cancelled job that runs when its request arrives once more.

    The copy arrives at any member, and under the leader or its successor.
    """
    member = fleet.followers()[0]
    assert (await _submit_and_cancel(fleet, member, member))[:2] == FAILED
    if change == "stop":
        await fleet.leader().member.stop()
    ready = [row for row in fleet.members if not row.member.is_stopping]
    await fleet.until(lambda: all(row.member.is_ready for row in ready))
    others = [row for row in ready if row is not member]
    answer = await fleet.submit([member, others[0]][copy_at], JOB)
    assert answer[:2] == FAILED
    assert _starts(fleet) == 2
