"""Tests of a leader that is killed: no task that is done runs again."""

import asyncio
from collections import Counter
from collections.abc import Callable

import pytest

from cassiaturn.entities import TaskRef
from cassiaturn.fleet._follower import Follower, QueuedFrame
from cassiaturn.platform.tests.fleet import Fleet
from cassiaturn.sharing import _cpu_headroom
from cassiaturn.v1 import fleet_pb2 as pb

JOB = "5c0e7a21d94b36f8"

COMPLETED = (200, '{"state":"completed"}')

WORKER_SIZED_TASKS = {"count": 4, "cpu": 12_000, "memMb": 64, "estimatedMs": 50}
"""A group that leaves room for one task on each of the fleet's targets."""


def _starts_by_ref(fleet: Fleet) -> "Counter[TaskRef]":
    return Counter(ref for runner in fleet.runners for ref in runner.starts)


def _listed_ends(fleet: Fleet) -> int:
    return sum(len(runner.target.ended) for runner in fleet.runners)


@pytest.mark.parametrize("follower", [0, 1])
async def test_a_done_job_whose_outcome_was_not_sent_does_not_run_again(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, follower: int
) -> None:
    """Guards against an end that is acknowledged before the caller's member knows it.

    The leader is killed after its targets have listed all ends and before it has
    written the outcome to the member's connection.
    """
    next_frame = Follower.next_frame

    async def hold_outcomes(
        self: Follower, beat: Callable[[], pb.LeaderBeat]
    ) -> QueuedFrame:
        queued = await next_frame(self, beat)
        if queued.frame.HasField("outcome"):
            await asyncio.Event().wait()
        return queued

    with monkeypatch.context() as patches:
        patches.setattr(Follower, "next_frame", hold_outcomes)
        member = fleet.followers()[follower]
        waiting = asyncio.ensure_future(fleet.submit(member, JOB, count=4))
        await fleet.until(lambda: _starts_by_ref(fleet).total() == 4)
        await asyncio.sleep(0.2)
        await fleet.kill(fleet.leader())
    assert (await waiting)[:2] == COMPLETED
    assert set(_starts_by_ref(fleet).values()) == {1}


async def test_finished_tasks_of_an_unfinished_job_do_not_run_again(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a successor that starts the finished tasks of a job again.

    Two of four tasks are done when the leader is killed; the other two go on.
    """
    monkeypatch.setattr(_cpu_headroom, "LATE_S", float("inf"))
    monkeypatch.setattr(_cpu_headroom, "BUSY_SHARE", float("inf"))
    follower = fleet.followers()[0]
    await fleet.until(lambda: follower.member.caller_jobs.waits_for_confirmation)
    for runner, run_s in zip(fleet.runners, (0.05, 0.05, 0.8, 0.8), strict=True):
        runner.run_s = run_s
    waiting = asyncio.ensure_future(
        fleet.submit(follower, JOB, steps=[WORKER_SIZED_TASKS])
    )
    await fleet.until(lambda: _starts_by_ref(fleet).total() == 4)
    await asyncio.sleep(0.3)
    await fleet.kill(fleet.leader())
    assert (await waiting)[:2] == COMPLETED
    assert set(_starts_by_ref(fleet).values()) == {1}
