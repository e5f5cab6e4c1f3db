"""Tests of members over real sockets: answers to callers, also during failures."""

import asyncio
from typing import Any

import pytest

from cassiaturn.entities import TaskRef
from cassiaturn.platform.tests.fleet import CONFIGURATION, PREFIX, Fleet
from cassiaturn.platform.tests.standin_runner import StandinRunner
from cassiaturn.platform.tests.standin_store import Fault

JOB = "5c0e7a21d94b36f8"


def _starts(fleet: Fleet, job_id: str) -> list[TaskRef]:
    return [
        ref for runner in fleet.runners for ref in runner.starts if ref.job_id == job_id
    ]


async def test_every_member_serves_jobs(fleet: Fleet) -> None:
    answers = await asyncio.gather(
        *(
            fleet.submit(member, f"{index:016x}", count=5)
            for index, member in enumerate(fleet.members * 3)
        )
    )
    assert {(status, body) for status, body, _ in answers} == {
        (200, '{"state":"completed"}')
    }
    assert sum(len(runner.starts) for runner in fleet.runners) == 45


async def test_one_leader_gives_all_orders(fleet: Fleet) -> None:
    await fleet.submit(fleet.followers()[0], JOB, count=8)
    assert len({runner.token for runner in fleet.runners}) == 1
    assert len(fleet.followers()) == 2


async def test_tasks_run_in_the_failure_domain_of_the_member_that_was_asked(
    fleet: Fleet,
) -> None:
    """Guards against jobs that end because a network partition cuts off their tasks."""
    elsewhere = StandinRunner("i-elsewhere", zone="b")
    elsewhere.start()
    fleet.runners.append(elsewhere)
    fleet.publish(elsewhere)
    member = await fleet.add_member("front-elsewhere", failure_domain="b")
    await fleet.until(
        lambda: fleet.count_reporting_targets() == 5 and member.member.is_ready
    )
    await fleet.until(lambda: fleet.count_unconfirmed_targets() == 0)
    jobs_by_member = {member: "b" * 16, fleet.leader(): "a" * 16}
    for asked, job_id in jobs_by_member.items():
        assert (await fleet.submit(asked, job_id, count=3))[0] == 200
    assert {ref.job_id for ref in elsewhere.starts} == {"b" * 16}
    assert len(elsewhere.starts) == 3


@pytest.mark.parametrize(
    ("method", "path", "host", "status"),
    [
        ("GET", PREFIX, "quick.example", 200),
        ("GET", PREFIX, "quick.example:8080", 200),
        ("GET", PREFIX + JOB, "quick.example", 410),
        ("DELETE", PREFIX + JOB, "quick.example", 410),
        ("GET", "/elsewhere/", "quick.example", 404),
        ("POST", "/elsewhere/" + JOB, "quick.example", 404),
        ("GET", PREFIX, "other.example", 404),
    ],
)
async def test_routes(
    fleet: Fleet, method: str, path: str, host: str, status: int
) -> None:
    member = fleet.members[0]
    answer = await fleet.request(member, method, path, headers={"Host": host})
    assert answer[0] == status


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"steps":[]}',
        b'{"steps":[{"count":0}]}',
        b'{"steps":[{"count":1,"after":[0]}]}',
        b'{"steps":[{"count":1,"cpu":-1}]}',
        b"\xff\xfe",
    ],
)
async def test_a_bad_body_is_refused_with_a_reason(fleet: Fleet, body: bytes) -> None:
    path = PREFIX + JOB
    status, text, _ = await fleet.request(fleet.members[0], "POST", path, data=body)
    assert status == 400
    assert "reason" in text
    assert not _starts(fleet, JOB)


@pytest.mark.parametrize(
    "fields",
    [
        {"bestEffort": False},
        {"repetitions": 2, "startAtMs": 5, "intervalMs": 10},
        {"steps": [{"count": 2, "cpu": 4_000, "gang": True}]},
        {"steps": [{"count": 2, "cpu": 4_000, "longRunning": True}]},
    ],
)
async def test_an_unsupported_job_is_refused_and_never_runs(
    fleet: Fleet, fields: dict[str, Any]
) -> None:
    """A caller requests a feature that is not supported yet.

    If such jobs were accepted, a gang's tasks would start one by one and wait for each
    other, a scheduled job would run at once, and a job that must be stored would be
    lost with its leader.
    """
    answer = await fleet.submit(fleet.members[0], JOB, **fields)
    assert answer[0] == 503
    assert not _starts(fleet, JOB)


async def test_a_new_configuration_is_in_force_at_every_member(fleet: Fleet) -> None:
    document = {**_configuration(7), "routes": []}
    fleet.store.state.put("op", "config", document)
    await fleet.until(
        lambda: all(member.member.routing.version == 7 for member in fleet.members), 2.0
    )
    for member in fleet.members:
        assert (await fleet.request(member, "GET", PREFIX))[0] == 404


async def test_an_older_configuration_is_ignored(fleet: Fleet) -> None:
    """Guards against going back to an older version of the configuration."""
    fleet.store.state.put("op", "config", _configuration(9))
    await fleet.until(
        lambda: all(member.member.routing.version == 9 for member in fleet.members)
    )
    fleet.store.state.put("op", "config", _configuration(4))
    await asyncio.sleep(0.2)
    assert {member.member.routing.version for member in fleet.members} == {9}


async def test_a_malformed_configuration_is_ignored(fleet: Fleet) -> None:
    """Guards against losing the configuration when a malformed one is published."""
    fleet.store.state.put("op", "config", '{"version": "none"}')
    await asyncio.sleep(0.2)
    assert {member.member.routing.version for member in fleet.members} == {3}
    assert (await fleet.submit(fleet.members[0], JOB))[0] == 200


async def test_no_change_is_missed_when_the_history_is_lost(fleet: Fleet) -> None:
    """The store drops its history while a change is made.

    A member that only requests changes would never see it.
    """
    state = fleet.store.state
    state.put("op", "config", _configuration(5))
    state.forget_history()
    await fleet.until(
        lambda: all(member.member.routing.version == 5 for member in fleet.members)
    )


async def test_a_new_target_gets_work_and_a_draining_one_none(fleet: Fleet) -> None:
    extra = StandinRunner("i-new")
    extra.start()
    fleet.runners.append(extra)
    fleet.publish(extra)
    for runner in fleet.runners[:4]:
        fleet.publish(runner, "draining")
    await fleet.until(lambda: fleet.count_reporting_targets() == 5)
    await asyncio.sleep(0.5)
    before = [len(runner.starts) for runner in fleet.runners[:4]]
    for index in range(4):
        answer = await fleet.submit(fleet.members[0], f"{index:016x}", count=3)
        assert answer[0] == 200
    assert [len(runner.starts) for runner in fleet.runners[:4]] == before
    assert len(extra.starts) == 12


async def test_jobs_of_followers_survive_a_killed_leader(
    fleet: Fleet,
) -> None:
    """The leader is killed while a follower's caller waits for a job of 0.4 s.

    The next leader must find the runs on the targets and answer the caller; no task may
    be started a second time while its first run continues.
    """
    for runner in fleet.runners:
        runner.run_s = 0.4
    follower = fleet.followers()[0]
    waiting = asyncio.ensure_future(fleet.submit(follower, JOB, count=4))
    await fleet.until(lambda: len(_starts(fleet, JOB)) == 4)
    await fleet.kill(fleet.leader())
    assert (await waiting)[:2] == (200, '{"state":"completed"}')
    assert len(_starts(fleet, JOB)) == 4
    await fleet.until(lambda: any(member.member.leader for member in fleet.members))


async def test_the_last_member_serves_alone(fleet: Fleet) -> None:
    """Guards against refusing callers after all other members were killed."""
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: any(member.member.leader for member in fleet.members))
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: fleet.members[0].member.is_ready)
    assert (await fleet.submit(fleet.members[0], JOB))[0] == 200


async def test_a_planned_stop_of_the_leader_interrupts_no_job(fleet: Fleet) -> None:
    """The leader gets SIGTERM while jobs of every member run.

    It hands over first and still answers its own callers, so that no caller notices.
    """
    for runner in fleet.runners:
        runner.run_s = 0.4
    leader = fleet.leader()
    waiting = [
        asyncio.ensure_future(fleet.submit(member, f"{index:016x}"))
        for index, member in enumerate(fleet.members)
    ]
    await fleet.until(lambda: sum(len(each.starts) for each in fleet.runners) == 6)
    await leader.member.stop()
    assert not leader.member.is_ready
    answers = await asyncio.gather(*waiting)
    assert {status for status, _, _ in answers} == {200}
    assert fleet.leader() is not leader
    assert sum(len(each.starts) for each in fleet.runners) == 6


async def test_a_killed_followers_jobs_are_stopped(fleet: Fleet) -> None:
    """Guards against tasks that run on after the member of their caller was killed."""
    for runner in fleet.runners:
        runner.run_s = 1.2
    follower = fleet.followers()[0]
    waiting = asyncio.ensure_future(fleet.submit(follower, JOB, count=4))
    await fleet.until(lambda: len(_starts(fleet, JOB)) == 4)
    await fleet.kill(follower)
    await asyncio.gather(waiting, return_exceptions=True)
    await fleet.until(
        lambda: not any(runner.target.runs_by_ref for runner in fleet.runners),
        timeout_s=1.0,
    )


async def test_tasks_of_a_disconnected_caller_are_stopped(fleet: Fleet) -> None:
    """Guards against tasks that run on although their caller closed its connection."""
    for runner in fleet.runners:
        runner.run_s = 1.0
    waiting = asyncio.ensure_future(fleet.submit(fleet.followers()[0], JOB, count=4))
    await fleet.until(lambda: len(_starts(fleet, JOB)) == 4)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    await fleet.until(
        lambda: not any(runner.target.runs_by_ref for runner in fleet.runners),
        timeout_s=0.5,
    )


async def test_jobs_are_served_during_a_store_outage(fleet: Fleet) -> None:
    """Guards against refusing jobs while the store refuses every call."""
    fleet.store.state.fault = Fault.BUSY
    for index in range(6):
        answer = await fleet.submit(fleet.members[index % 3], f"{index:016x}")
        assert answer[0] == 200


async def test_a_killed_leader_is_replaced_during_a_store_outage(fleet: Fleet) -> None:
    """The store refuses every call, and the leader's process ends.

    The others know the targets and each other from the leader. They must keep serving,
    and agree on a leader without the store.
    """
    fleet.store.state.fault = Fault.BUSY
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: any(member.member.leader for member in fleet.members))
    await fleet.until(lambda: all(member.member.is_ready for member in fleet.members))
    for index, member in enumerate(fleet.members):
        assert (await fleet.submit(member, f"{index:016x}"))[0] == 200
    assert len(fleet.followers()) == 1


async def test_a_claim_whose_answer_is_lost_still_leads(fleet: Fleet) -> None:
    """Guards against having no leader when the store loses the answer to a claim."""
    fleet.store.state.fault = Fault.ANSWER_LOST
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: any(member.member.leader for member in fleet.members))
    assert (await fleet.submit(fleet.members[0], JOB))[0] == 200


async def test_a_new_member_without_a_store_joins_by_its_seeds(fleet: Fleet) -> None:
    """Guards against a member that cannot start while the store refuses every call."""
    fleet.store.state.fault = Fault.BUSY
    member = await fleet.add_member("front-new")
    await fleet.until(lambda: member.member.is_ready)
    assert member.member.routing.version == 3
    assert (await fleet.submit(member, JOB))[0] == 200


async def test_a_silent_target_does_not_delay_a_job_until_its_timeout(
    fleet: Fleet,
) -> None:
    """A target with a task on it stops answering; the caller waits 1.5 s.

    The task must start elsewhere once the lease has certainly expired, after 1.1 s.
    """
    for runner in fleet.runners:
        runner.run_s = 0.1
    fleet.runners[0].silent = True
    for index in range(8):
        answer = await fleet.submit(fleet.members[index % 3], f"{index:016x}", count=4)
        assert answer[0] == 200


async def test_a_member_without_configuration_refuses_callers() -> None:
    """Guards against accepting jobs before a configuration was read."""
    fleet = Fleet()
    fleet.store.start()
    member = await fleet.add_member("front-0")
    status, _, retry_after = await fleet.submit(member, JOB)
    assert (status, retry_after) == (503, "1")
    assert not member.member.is_ready
    await fleet.close()


async def test_the_readiness_probe_fails_after_a_planned_stop(fleet: Fleet) -> None:
    """Guards against new callers at a member that is stopping."""
    member = fleet.followers()[0]
    assert await fleet.readiness(member) == 200
    await member.member.stop()
    assert await fleet.readiness(member) == 503


def _configuration(version: int) -> dict[str, object]:
    return {**CONFIGURATION, "version": version}


async def test_a_leader_raises_its_token_above_that_of_targets(
    fleet: Fleet,
) -> None:
    """A leader claimed during a store outage and died before it wrote the row.

    The targets obey its token, but the row has a lower one. Targets would refuse the
    next leader's orders for ever, and every caller would be refused.
    """
    for runner in fleet.runners:
        runner.token *= 5
    await fleet.until(lambda: fleet.count_reporting_targets() == 0)
    await fleet.until(lambda: fleet.count_reporting_targets() == 4, 12.0)
    await fleet.until(lambda: all(member.member.is_ready for member in fleet.members))
    for index, member in enumerate(fleet.members):
        assert (await fleet.submit(member, f"{index:016x}"))[0] == 200


@pytest.mark.parametrize("obeys_successor", [False, True])
async def test_a_superseded_leader_stops_runs_that_its_successor_cannot_reach(
    fleet: Fleet, obeys_successor: bool
) -> None:
    """A network partition heals, and the leader of one side steps down while tasks run.

    A target that the successor does not reach would continue its run for another lease,
    while the caller may have the task started elsewhere. Runs that the successor has
    taken over must continue.
    """
    for runner in fleet.runners:
        runner.run_s = 1.2
    waiting = asyncio.ensure_future(fleet.submit(fleet.members[0], JOB, count=1))
    await fleet.until(lambda: len(_starts(fleet, JOB)) == 1)
    runner = next(each for each in fleet.runners if each.starts)
    leader = fleet.leader().member.leader
    assert leader is not None
    leader.close()
    if obeys_successor:
        runner.token += 1
    await leader.stop_leftovers()
    await asyncio.sleep(0.1)
    assert bool(runner.target.runs_by_ref) is obeys_successor
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)


async def test_a_refused_connection_does_not_end_a_run(fleet: Fleet) -> None:
    """A network partition refuses connections to a target whose task continues.

    If this counted as the end of the target's process, the task would be started
    elsewhere at once and run twice at the same time.
    """
    for runner in fleet.runners:
        runner.run_s = 1.4
    waiting = asyncio.ensure_future(fleet.submit(fleet.members[0], JOB, count=1))
    await fleet.until(lambda: len(_starts(fleet, JOB)) == 1)
    runner = next(each for each in fleet.runners if each.starts)
    await runner.close()
    await asyncio.sleep(0.7)
    assert len(_starts(fleet, JOB)) == 1
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)


async def test_a_planned_stop_of_the_leader_during_a_store_outage(
    fleet: Fleet,
) -> None:
    """The leader gets SIGTERM during a store outage, and hands over.

    Its successor cannot write the row. Without an announcement, the old leader would
    continue without targets and refuse the jobs of all its followers.
    """
    fleet.store.state.fault = Fault.BUSY
    leader = fleet.leader()
    await leader.member.stop()
    await fleet.until(lambda: leader.member.leader is None, timeout_s=2.0)
    await fleet.until(lambda: fleet.count_reporting_targets() == 4, timeout_s=2.0)
    others = [each for each in fleet.members if each is not leader]
    await fleet.until(lambda: all(each.member.is_ready for each in others), 2.0)
    for index, member in enumerate(fleet.members):
        assert (await fleet.submit(member, f"{index:016x}"))[0] == 200


async def test_a_token_is_raised_during_a_store_outage(fleet: Fleet) -> None:
    """Guards against targets that refuse a leader's orders until the store is back."""
    fleet.store.state.fault = Fault.BUSY
    for runner in fleet.runners:
        runner.token *= 5
    await fleet.until(lambda: fleet.count_reporting_targets() == 0)
    await fleet.until(lambda: fleet.count_reporting_targets() == 4, 12.0)
    assert (await fleet.submit(fleet.followers()[0], JOB))[0] == 200
