"""Failures, drains and losses of targets and of the instances that hold them."""

import asyncio
from pathlib import Path

from cassiaturn.entities import Outcome, Ran, Reason
from cassiaturn.server.tests.fleet import (
    CHECK,
    DECKS,
    ORDER,
    PROPS,
    eventually,
    fleet_with,
    order,
    submit,
    ticket_of,
)
from cassiaturn.standins import (
    FaultRequest,
    JournalEvent,
    PlatformStandIn,
    RunnerFault,
    read_journal,
)


async def test_repeatable_jobs_survive_a_target_that_fails_every_task(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A target fails every task immediately, so it is always free and attracts work.

    Repeatable tasks must be retried elsewhere and the target ejected, so that
    callers get only complete answers.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        broken = fleet.targets[0].target_id
        fleet.runners.set_fault(
            FaultRequest(target_ids=[broken], fault=RunnerFault(fail_everything=True))
        )
        answers = await asyncio.gather(
            *(client.submit(CHECK, PROPS, deadline_s=20) for _ in range(30))
        )
        assert {answer.outcome for answer in answers} == {Outcome.COMPLETE}


async def test_a_leaving_target_gets_no_new_tasks_and_loses_none(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A target announces that it leaves while it runs tasks.

    Its running tasks must complete and later jobs run elsewhere, so it sees no
    start after its holder processed the announcement.
    """
    async with fleet_with(platform, tmp_path, run_ms=400) as fleet:
        async with fleet.client() as client:
            leaving = fleet.targets[0].target_id
            jobs = [
                asyncio.create_task(client.submit(ORDER, DECKS, deadline_s=20))
                for _ in range(8)
            ]
            await eventually(lambda: bool(fleet.starts_by_task()))
            fault = RunnerFault(leaving=True)
            fleet.runners.set_fault(FaultRequest(target_ids=[leaving], fault=fault))
            await eventually(lambda: fleet.row_of(leaving).leaving)
            runner = fleet.runners.runners_by_id[leaving]
            starts = runner.starts
            late = await client.submit(ORDER, DECKS * 8, deadline_s=20)
            answers = [*await asyncio.gather(*jobs), late]
        assert {answer.outcome for answer in answers} == {Outcome.COMPLETE}
        assert runner.starts == starts


async def test_a_non_repeatable_task_on_a_lost_target_is_not_retried(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A target is unreachable for longer than the lease of its running task.

    The task may have run there, so a non-repeatable one is not started elsewhere:
    the answer is "failed" and says that it may have run. A repeatable task would be
    started again.
    """
    async with fleet_with(platform, tmp_path, run_ms=60_000) as fleet:
        async with fleet.client() as client:
            job = submit(
                client, fleet, await ticket_of(client, fleet, 0), DECKS[:1], index=0
            )
            await eventually(lambda: bool(fleet.starts_by_task()))
            fleet.runners.set_fault(
                FaultRequest(fault=RunnerFault(refuse_connections=True))
            )
            answer = await job
        assert answer.outcome is Outcome.FAILED
        assert answer.ran is Ran.MAYBE
        assert answer.reason is Reason.TARGET_LOST
        assert set(fleet.starts_by_task().values()) == {1}


async def test_tasks_spilled_to_a_dead_peer_are_settled_by_its_targets(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A peer dies with spilled tasks, some running and some waiting.

    The home queries the peer's targets: running tasks keep their leases and their
    results are adopted, and tasks that no target started run elsewhere. The answer
    is complete and no task is started twice.
    """
    async with fleet_with(platform, tmp_path, run_ms=2_500) as fleet:
        async with fleet.client() as client:
            ticket = await ticket_of(client, fleet, 0)
            decks = [order(f"deck-{number}") for number in range(40)]
            job = submit(client, fleet, ticket, decks, index=0)
            lost = fleet.instances[2].incarnation
            state = fleet.instances[0].state

            def is_spilled() -> bool:
                given = [r.peer for r in state.in_flight_by_key.values()]
                return lost in given

            await eventually(is_spilled)
            await eventually(lambda: len(fleet.starts_by_task()) >= 40)
            await fleet.kill(2)
            answer = await job
        assert answer.outcome is Outcome.COMPLETE, answer
        assert set(fleet.starts_by_task().values()) == {1}


async def test_a_full_fleet_takes_the_queue_of_a_leaving_instance(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """An instance leaves with a long queue while every peer is full.

    Its targets move to the peers at once, so it must spill its queue to them
    although none reports a free slot. Every caller gets a complete answer.
    """
    async with fleet_with(platform, tmp_path, run_ms=150) as fleet:
        async with fleet.client() as client:
            jobs = [
                submit(
                    client,
                    fleet,
                    await ticket_of(client, fleet, index),
                    [order(f"deck-{number}") for number in range(100)],
                    index=index,
                )
                for index in range(3)
            ]
            states = [instance.state for instance in fleet.instances]
            await eventually(lambda: all(len(state.queue) > 20 for state in states))
            await fleet.instances[0].stop()
            answers = await asyncio.gather(*jobs)
        assert {answer.outcome for answer in answers} == {Outcome.COMPLETE}
        assert set(fleet.starts_by_task().values()) == {1}


async def test_a_drained_failure_domain_gets_no_start(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """Guards against starts on any target of a failure domain that operators drain."""
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        for instance in fleet.instances:
            instance.targets.set_drained_by_configuration([], ["tema"])
        answers = await asyncio.gather(
            *(client.submit(CHECK, PROPS, deadline_s=20) for _ in range(10))
        )
        assert {answer.outcome for answer in answers} == {Outcome.COMPLETE}
        for target in fleet.targets:
            row = fleet.row_of(target.target_id)
            assert row.leaving is (target.failure_domain == "tema")
            journal = fleet.directory / f"{target.target_id}.jsonl"
            started = [
                entry
                for entry in read_journal(journal)
                if entry.event is JournalEvent.STARTED
            ]
            assert bool(started) is (target.failure_domain != "tema")
