"""A leader, or all that it hears, falls silent for a while: what callers get."""

import asyncio
import time

import pytest

from cassiaturn.entities import TaskRef
from cassiaturn.fleet import _member
from cassiaturn.fleet._leadership import next_leadership
from cassiaturn.platform.tests.fleet import Fleet, RunningMember
from cassiaturn.platform.tests.standin_store import LOOPBACK, Fault
from cassiaturn.sharing import _cpu_headroom

JOB = "5c0e7a21d94b36f8"

COMPLETED = (200, '{"state":"completed"}')


def _starts(fleet: Fleet, job_id: str) -> list[TaskRef]:
    return [ref for row in fleet.runners for ref in row.starts if ref.job_id == job_id]


async def _submit_and_start(
    fleet: Fleet, member: RunningMember, count: int
) -> "asyncio.Future[tuple[int, str, str]]":
    """Submit a job, and return its answer to come once all its tasks have started."""
    waiting = asyncio.ensure_future(fleet.submit(member, JOB, count=count))
    await fleet.until(lambda: len(_starts(fleet, JOB)) == count)
    return waiting


async def test_tasks_go_on_when_the_leaders_host_stands_still(fleet: Fleet) -> None:
    """The leader's host freezes, with a follower's job of 1.2 s under way.

    Targets work on until their leases end. A successor that asks them in time finds
    the runs in their lists, and the caller gets its answer as if nothing had been.
    """
    for runner in fleet.runners:
        runner.run_s = 1.2
    waiting = await _submit_and_start(fleet, fleet.followers()[0], count=4)
    fleet.leader().stand_still()
    assert (await waiting)[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4


async def test_tasks_go_on_also_while_the_store_does_not_answer(fleet: Fleet) -> None:
    """The leader's host freezes while no call to the store is answered.

    A successor that waits for the store first comes after the leases have ended.
    """
    for runner in fleet.runners:
        runner.run_s = 1.2
    fleet.store.state.fault = Fault.SILENT
    waiting = await _submit_and_start(fleet, fleet.followers()[0], count=4)
    fleet.leader().stand_still()
    assert (await waiting)[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4


async def test_a_job_that_a_silent_leader_never_read_is_served(fleet: Fleet) -> None:
    """A caller comes just after the leader's host froze, before anybody knows.

    Its job lies in a connection that nobody reads. Given up with the leader it would
    be lost: its caller comes back after 1.3 s of the 1.5 s that it waits.
    """
    follower = fleet.followers()[0]
    fleet.leader().stand_still()
    assert (await fleet.submit(follower, JOB, count=4))[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4


async def test_a_job_that_never_began_does_not_wait_for_a_silent_target(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A job on its way to a leader that is gone waited for leases, and was given up."""
    monkeypatch.setattr(_cpu_headroom, "LATE_S", float("inf"))
    monkeypatch.setattr(_cpu_headroom, "BUSY_SHARE", float("inf"))
    follower = fleet.followers()[0]
    await fleet.until(lambda: follower.member.caller_jobs.waits_for_confirmation)
    fleet.runners[-1].silent = True
    fleet.leader().stand_still()
    assert (await fleet.submit(follower, JOB, count=4))[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4


async def test_connections_that_fall_silent_are_replaced(fleet: Fleet) -> None:
    """Every connection to the leader falls silent for good, while new ones work.

    The leader lives and has the job. Its followers come back by a new connection, and
    the caller gets the answer: a new leader is not needed, nor a second run.
    """
    for runner in fleet.runners:
        runner.run_s = 1.0
    leader = fleet.leader()
    follower = fleet.followers()[0]
    waiting = await _submit_and_start(fleet, follower, count=4)
    leader.strand_streams()
    assert (await waiting)[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4
    assert fleet.leader() is leader


async def test_a_process_that_stood_still_does_not_suspect_its_leader(
    fleet: Fleet,
) -> None:
    """A host takes the processor away for longer than a leader may be silent.

    The leader's heartbeats lie unread meanwhile. Suspected at once, it would lose its
    followers, who refuse callers until they are back.
    """
    leader = fleet.leader()
    streams = leader.member.service.followers
    for _ in range(3):
        time.sleep(0.6)  # noqa: ASYNC251 - the process stands still
        await asyncio.sleep(0.3)
    assert leader.member.service.followers == streams
    assert all(row.member.is_ready for row in fleet.members)


async def test_a_process_that_stands_still_starts_nothing_again(fleet: Fleet) -> None:
    """Orders are sent, and everything stands still for longer than they may take.

    Answers come late by just that time. Counted as lost, every task would be stopped
    and started again, and callers wait for the second run.
    """
    fleet.runners[0].block_loop_s = 0.25
    answer = await fleet.submit(fleet.leader(), JOB, count=16)
    assert answer[:2] == (200, '{"state":"completed"}')
    assert len(_starts(fleet, JOB)) == 16


async def test_the_larger_side_of_a_cut_outranks_what_the_other_claims(
    fleet: Fleet,
) -> None:
    """A follower falls silent behind a cut, where the next term may be claimed.

    The leader, which still hears the others, goes on under a higher token: no run of
    a job under way is stopped or started again for it.
    """
    for runner in fleet.runners:
        runner.run_s = 1.2
    leader = fleet.leader()
    before = leader.member.known_leadership
    waiting = await _submit_and_start(fleet, fleet.followers()[0], count=4)
    leader.member.note_silent_member()
    await fleet.until(lambda: leader.member.known_leadership != before)
    after = leader.member.known_leadership
    assert before is not None
    assert after is not None
    assert after.term == before.term + 1
    assert (await waiting)[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4
    await fleet.until(lambda: {row.token for row in fleet.runners} == {after.token})


async def test_a_leader_that_announced_itself_during_a_look_is_followed_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A successor announces itself while another member still looks around.

    Forgotten before the wait for it, the news would be acted on a wait later, and the
    member's callers be refused meanwhile.
    """
    monkeypatch.setattr(_member, "LOOK_PAUSE_S", 30.0)
    member = RunningMember("front-0", store=f"{LOOPBACK}:1", seeds=()).member
    member.note_reachable_leader(
        next_leadership(None, member_id="front-1/x", address="127.0.0.1:2", reach=1)
    )
    async with asyncio.timeout(5.0):
        await member._wait_for_news()


async def test_the_smaller_side_of_a_cut_claims_no_rank(fleet: Fleet) -> None:
    leader = fleet.leader()
    before = leader.member.known_leadership
    for _ in range(3):
        leader.member.note_silent_member()
    await asyncio.sleep(1.0)
    assert leader.member.known_leadership == before
