"""Targets fail, leave or are lost, and holders vanish or leave."""

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
    PlatformStandIn,
    RunnerFault,
)


async def test_a_target_that_fails_everything_fails_no_repeatable_job(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """One target fails every task at once, so it is always free and draws work.

    Tasks that may be repeated run again elsewhere, and the target is ejected;
    the callers see only complete answers.
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


async def test_a_leaving_target_gets_nothing_new_and_loses_nothing(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A target says that it leaves while it runs tasks.

    What it runs comes back whole; later jobs run elsewhere, so its journal
    shows no start after the notice was taken.
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


async def test_an_order_on_a_lost_target_is_never_run_again(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A target's connections break for longer than the lease of what it runs.

    An order may have run there, so it is not started elsewhere; the caller is
    told "failed", and that it may have run. A check is started again instead.
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


async def test_an_order_given_to_a_peer_that_dies_is_settled_by_its_targets(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A home has given orders to a peer, some running and some waiting there.

    The peer dies. The home asks the peer's targets: what they run is kept alive
    and its result taken, what none of them began is started elsewhere. The
    caller gets a complete answer and no order is started twice.
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


async def test_a_full_fleet_takes_the_queue_of_an_instance_that_leaves(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """An instance leaves with a long queue while every peer is full too.

    Its targets go to the others at once, so it hands its queue to them although
    none reports a free slot; every caller gets its whole answer.
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
