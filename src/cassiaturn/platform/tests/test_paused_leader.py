"""Tests of what a leader starts after its process was paused."""

import asyncio
import time

import pytest

from cassiaturn.platform.tests.fleet import Fleet

JOB = "5c0e7a21d94b36f8"
OTHER_JOB = "7a21d94b36f85c0e"

COMPLETED = (200, '{"state":"completed"}')

PAUSE_S = 0.6


def _pause_process() -> None:
    time.sleep(PAUSE_S)


def _starts(fleet: Fleet, job_id: str) -> int:
    return sum(
        ref.job_id == job_id for runner in fleet.runners for ref in runner.starts
    )


async def test_a_paused_leader_starts_no_job_of_a_member_that_does_not_answer(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a task that runs twice because its leader was paused.

    A member that does not answer may follow another leader, which starts its jobs.
    """
    silent, answering = fleet.followers()
    stream = silent.member._following
    assert stream is not None
    with monkeypatch.context() as patches:
        patches.setattr(stream, "_on_heartbeat", lambda beat: None)
        _pause_process()
        leader = fleet.leader().member.leader
        assert leader is not None
        await fleet.until(lambda: leader.pauses > 0)
        waiting = asyncio.ensure_future(fleet.submit(silent, JOB))
        assert (await fleet.submit(answering, OTHER_JOB))[:2] == COMPLETED
        assert _starts(fleet, JOB) == 0
    assert (await waiting)[:2] == COMPLETED
    assert _starts(fleet, JOB) == 2


async def test_a_paused_leader_serves_its_own_callers_once_a_member_answers(
    fleet: Fleet,
) -> None:
    """Guards against a hold that does not end, and a second run of a task."""
    for number in range(3):
        _pause_process()
        job_id = f"{number:016x}"
        assert (await fleet.submit(fleet.leader(), job_id))[:2] == COMPLETED
        assert _starts(fleet, job_id) == 2


async def test_a_paused_leader_without_followers_serves_its_callers(
    fleet: Fleet,
) -> None:
    """Guards against a last member that waits for answers of members that are gone."""
    for follower in fleet.followers():
        await fleet.kill(follower)
    leader = fleet.leader()
    await fleet.until(lambda: not leader.member.service.followers)
    _pause_process()
    assert (await fleet.submit(leader, JOB))[:2] == COMPLETED
