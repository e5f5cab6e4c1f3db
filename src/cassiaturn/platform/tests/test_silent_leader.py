"""Tests of answers to callers while the leader or its connections are silent."""

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
    return [
        ref for runner in fleet.runners for ref in runner.starts if ref.job_id == job_id
    ]


async def _submit_and_start(
    fleet: Fleet, member: RunningMember, count: int
) -> "asyncio.Future[tuple[int, str, str]]":
    """Submit a job; return its pending answer once all its tasks have started."""
    waiting = asyncio.ensure_future(fleet.submit(member, JOB, count=count))
    await fleet.until(lambda: len(_starts(fleet, JOB)) == count)
    return waiting


async def test_tasks_continue_when_the_leaders_host_freezes(fleet: Fleet) -> None:
    """Guards against losing or repeating runs when the leader's host freezes.

    A follower's job of 1.2 s is running. Targets continue until their leases expire. A
    successor that asks them before that finds the runs in their lists and adopts them,
    so that the caller gets its answer.
    """
    for runner in fleet.runners:
        runner.run_s = 1.2
    waiting = await _submit_and_start(fleet, fleet.followers()[0], count=4)
    fleet.leader().freeze_host()
    assert (await waiting)[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4


async def test_tasks_continue_when_the_leaders_host_freezes_during_a_store_outage(
    fleet: Fleet,
) -> None:
    """Guards against a successor that waits for the store and finds leases expired.

    The leader's host freezes while a job runs and the store answers no call.
    """
    for runner in fleet.runners:
        runner.run_s = 1.2
    fleet.store.state.fault = Fault.SILENT
    waiting = await _submit_and_start(fleet, fleet.followers()[0], count=4)
    fleet.leader().freeze_host()
    assert (await waiting)[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4


async def test_a_job_that_a_frozen_leader_never_read_is_served(fleet: Fleet) -> None:
    """A caller submits a job just after the leader's host froze, before it is detected.

    The job is in a connection that nobody reads. Abandoned with the leader it would be
    lost: its caller would retry after 1.3 s of the 1.5 s that it waits.
    """
    follower = fleet.followers()[0]
    fleet.leader().freeze_host()
    assert (await fleet.submit(follower, JOB, count=4))[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4


async def test_a_job_that_never_started_does_not_wait_for_a_silent_target(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against abandoning a job in transit to a lost leader.

    It never started, so it need not wait until the lease of a silent target expires.
    """
    monkeypatch.setattr(_cpu_headroom, "LATE_S", float("inf"))
    monkeypatch.setattr(_cpu_headroom, "BUSY_SHARE", float("inf"))
    follower = fleet.followers()[0]
    await fleet.until(lambda: follower.member.caller_jobs.waits_for_confirmation)
    fleet.runners[-1].silent = True
    fleet.leader().freeze_host()
    assert (await fleet.submit(follower, JOB, count=4))[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4


async def test_copies_of_an_order_name_the_same_run(fleet: Fleet) -> None:
    """Guards against a copy of a start that a target takes for a second run.

    The target is silent for longer than the first attempt waits.
    """
    for runner in fleet.runners:
        runner.silent = True
    waiting = asyncio.ensure_future(fleet.submit(fleet.followers()[0], JOB, count=4))
    await fleet.until(lambda: sum(len(runner.orders) for runner in fleet.runners) > 4)
    for runner in fleet.runners:
        runner.silent = False
    await waiting
    orders = [order for runner in fleet.runners for order in runner.orders]
    assert len(orders) > len(set(orders))
    assert len({ref for ref, _ in orders}) == 4
    for runner in fleet.runners:
        numbers_by_ref: dict[TaskRef, set[int]] = {}
        for ref, number in runner.orders:
            numbers_by_ref.setdefault(ref, set()).add(number)
        assert all(len(numbers) == 1 for numbers in numbers_by_ref.values())


async def test_connections_that_fall_silent_are_replaced(fleet: Fleet) -> None:
    """All open connections to the leader fall silent for good, while new ones work.

    The leader is alive and has the job. Its followers reconnect and the caller gets the
    answer; neither a new leader nor a second run is needed.
    """
    for runner in fleet.runners:
        runner.run_s = 1.0
    leader = fleet.leader()
    follower = fleet.followers()[0]
    waiting = await _submit_and_start(fleet, follower, count=4)
    leader.silence_open_connections()
    assert (await waiting)[:2] == COMPLETED
    assert len(_starts(fleet, JOB)) == 4
    assert fleet.leader() is leader


async def test_a_paused_process_does_not_suspect_its_leader(
    fleet: Fleet,
) -> None:
    """A process gets no processor time for longer than a leader may be silent.

    The leader's heartbeats are unread meanwhile. If followers suspected it as soon as
    they run again, they would leave it and refuse callers until they are back.
    """
    leader = fleet.leader()
    streams = leader.member.service.followers
    for _ in range(3):
        time.sleep(0.6)  # noqa: ASYNC251 - pauses the process
        await asyncio.sleep(0.3)
    assert leader.member.service.followers == streams
    assert all(member.member.is_ready for member in fleet.members)


async def test_a_paused_process_starts_no_task_twice(fleet: Fleet) -> None:
    """After orders are sent, the process is paused for longer than their timeout.

    The answers are late by just that time. Counted as lost, every task would be stopped
    and started again, and callers would wait for the second run.
    """
    fleet.runners[0].block_loop_s = 0.25
    answer = await fleet.submit(fleet.leader(), JOB, count=16)
    assert answer[:2] == (200, '{"state":"completed"}')
    assert len(_starts(fleet, JOB)) == 16


async def test_the_larger_side_of_a_partition_raises_its_term(
    fleet: Fleet,
) -> None:
    """A follower falls silent behind a partition and may claim the next term there.

    The leader, which still hears the others, continues with a higher token; no run is
    stopped or started again for that.
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
    await fleet.until(
        lambda: {runner.token for runner in fleet.runners} == {after.token}
    )


async def test_a_leader_announced_during_a_peer_survey_is_followed_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A successor announces itself while another member still asks its peers.

    If the announcement were discarded before the wait for it, the member would act on
    it one wait later and refuse its callers meanwhile.
    """
    monkeypatch.setattr(_member, "LOOK_PAUSE_S", 30.0)
    member = RunningMember("front-0", store=f"{LOOPBACK}:1", seeds=()).member
    member.note_reachable_leader(
        next_leadership(None, member_id="front-1/x", address="127.0.0.1:2", reach=1)
    )
    async with asyncio.timeout(5.0):
        await member._wait_for_announcement()


async def test_a_member_that_asks_its_peers_follows_an_announced_leader_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against finishing questions to silent members when the answer is known.

    Callers of that member wait meanwhile, also those whose jobs are done.
    """
    member = RunningMember("front-0", store=f"{LOOPBACK}:1", seeds=()).member
    is_deciding, followed = asyncio.Event(), asyncio.Event()

    async def decide(*args: object, **options: object) -> None:
        is_deciding.set()
        await asyncio.sleep(30.0)

    async def follow() -> None:
        followed.set()
        await asyncio.sleep(30.0)

    monkeypatch.setattr(member, "_decide_step", decide)
    monkeypatch.setattr(member, "_follow_known", follow)
    running = asyncio.ensure_future(member._lead_or_follow())
    async with asyncio.timeout(5.0):
        await is_deciding.wait()
        member.note_reachable_leader(
            next_leadership(None, member_id="front-1/x", address="127.0.0.1:2", reach=1)
        )
        await followed.wait()
    running.cancel()


async def test_members_stay_with_a_leader_that_announces_a_higher_token(
    fleet: Fleet,
) -> None:
    """Guards against callers without a leader while theirs raises its token.

    A leader that cannot reach the store asks its peers before it raises its token, and
    tells them of the new one.
    """
    leader, follower = fleet.leader(), fleet.followers()[0]
    stream = follower.member._following
    higher = leader.member.next_leadership(reach=2)
    follower.member.note_reachable_leader(higher)
    for _ in range(20):
        assert follower.member.is_ready
        await asyncio.sleep(0.03)
    assert follower.member._following is stream
    assert follower.member.known_leadership == higher


async def test_the_smaller_side_of_a_partition_keeps_its_term(fleet: Fleet) -> None:
    """Guards against a new term on the side of a partition with fewer members."""
    leader = fleet.leader()
    before = leader.member.known_leadership
    for _ in range(3):
        leader.member.note_silent_member()
    await asyncio.sleep(1.0)
    assert leader.member.known_leadership == before
