"""Tests of planned changes of leader: no task that is done runs again."""

import asyncio
from collections import Counter

import pytest

from cassiaturn.entities import TaskRef
from cassiaturn.fleet import _target_link
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.fleet._member import Member
from cassiaturn.platform.tests.fleet import Fleet

JOB = "5c0e7a21d94b36f8"

COMPLETED = (200, '{"state":"completed"}')

LATE_S = 0.1
"""How late the leader that stops hears of its successor, in seconds."""

WORKER_SIZED_TASKS = {"count": 4, "cpu": 12_000, "memMb": 64, "estimatedMs": 50}
"""A group that leaves room for one task on each of the fleet's targets."""


def _starts_by_ref(fleet: Fleet) -> "Counter[TaskRef]":
    return Counter(ref for runner in fleet.runners for ref in runner.starts)


@pytest.fixture
def slow_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make a leader hear late of its successor, and the successor of the targets.

    Runs that end in between are acknowledged by the leader that stops, so that their
    targets list them no more.
    """
    note = Member.note_reachable_leader

    def note_late(member: Member, leadership: Leadership) -> None:
        if member.leader is None:
            note(member, leadership)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_S, note, member, leadership)

    monkeypatch.setattr(Member, "note_reachable_leader", note_late)
    monkeypatch.setattr(_target_link, "FIRST_LIST_SEND_TIMES_S", (2 * LATE_S,))


@pytest.mark.parametrize("follower", [0, 1])
async def test_a_job_that_ends_under_a_stopping_leader_does_not_run_again(
    fleet: Fleet, slow_change: None, follower: int
) -> None:
    """Guards against outcomes lost on the stream to a leader that hands over.

    Its followers left it for the successor, one of them to lead, before it could tell
    that the job was done.
    """
    for runner in fleet.runners:
        runner.run_s = LATE_S / 2
    member = fleet.followers()[follower]
    waiting = asyncio.ensure_future(fleet.submit(member, JOB, count=4))
    await fleet.until(lambda: _starts_by_ref(fleet).total() == 4)
    await fleet.leader().member.stop()
    assert (await waiting)[:2] == COMPLETED
    assert set(_starts_by_ref(fleet).values()) == {1}


async def test_a_new_leader_ignores_what_the_earlier_one_tells_of_its_queue(
    fleet: Fleet, slow_change: None
) -> None:
    """Guards against queue lengths of an earlier leader that outlast its term."""
    stopping = fleet.leader()
    stopping.member.leader.waiting_by_route = lambda: {"quick": 7}  # type: ignore[union-attr, method-assign]
    followers = fleet.followers()
    await fleet.until(
        lambda: all(m.member.caller_jobs.waiting_by_route for m in followers)
    )
    await stopping.member.stop()
    await fleet.until(lambda: all(member.member.is_ready for member in followers))
    assert not fleet.leader().member.caller_jobs.waiting_by_route


@pytest.mark.parametrize("submitter", ["leader", "follower"])
async def test_finished_tasks_of_an_unfinished_job_do_not_run_again(
    fleet: Fleet, submitter: str
) -> None:
    """Guards against a successor that starts the finished tasks of a job again.

    Two of four tasks are done and acknowledged when the leader stops; the job and its
    other two tasks go on under the successor.
    """
    for runner, run_s in zip(fleet.runners, (0.05, 0.05, 0.8, 0.8), strict=True):
        runner.run_s = run_s
    stopping = fleet.leader()
    member = stopping if submitter == "leader" else fleet.followers()[0]
    waiting = asyncio.ensure_future(
        fleet.submit(member, JOB, steps=[WORKER_SIZED_TASKS])
    )
    await fleet.until(lambda: _starts_by_ref(fleet).total() == 4)
    await asyncio.sleep(0.3)
    await stopping.member.stop()
    assert (await waiting)[:2] == COMPLETED
    assert set(_starts_by_ref(fleet).values()) == {1}
    assert fleet.leader() is not stopping
