"""Tests of admission by forecast with real members over sockets."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from cassiaturn.platform.tests.fleet import Fleet
from cassiaturn.sharing import StartDemand, StartRate


@pytest.fixture
async def forecasting_fleet(member_log: None) -> AsyncIterator[Fleet]:
    fleet = Fleet(admission="forecast")
    await fleet.start()
    yield fleet
    await fleet.close()


async def test_jobs_beyond_the_room_are_refused_at_once_and_the_others_done(
    forecasting_fleet: Fleet,
) -> None:
    """Guards against settings that do not reach the leader."""
    fleet = forecasting_fleet
    answers = await asyncio.gather(
        *(
            fleet.submit(fleet.members[index % 3], f"{index:016x}", count=8)
            for index in range(120)
        )
    )
    statuses = [status for status, _, _ in answers]
    assert set(statuses) == {200, 503}
    assert all(retry for status, _, retry in answers if status == 503)
    leader = fleet.leader().member.leader
    assert leader is not None
    counters = leader.tables.counters
    assert counters.refused_by_forecast + counters.refused_hopeless > 0
    assert (await fleet.submit(fleet.followers()[0], "f" * 16))[0] == 200


async def test_shares_of_the_leader_reach_its_followers_and_end(
    forecasting_fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against shares that members never learn, or keep after the burst."""
    fleet = forecasting_fleet
    follower = fleet.followers()[0]
    shares = dict.fromkeys(range(10), 1.0)

    def update(demand: StartDemand, rate: StartRate, now: float) -> None:
        demand.shares = shares

    monkeypatch.setattr(StartDemand, "update", update)
    caller_jobs = follower.member.caller_jobs
    await fleet.until(lambda: bool(caller_jobs.shed_by_priority), 1.0)
    status, _, retry_after = await fleet.submit(follower, "e" * 16)
    assert (status, bool(retry_after)) == (503, True)
    shares = {}
    await fleet.until(lambda: not caller_jobs.shed_by_priority, 1.0)
    assert (await fleet.submit(follower, "d" * 16))[0] == 200
