"""A home dies, stands still or is fenced; somebody decides in its place."""

import asyncio
from pathlib import Path

import pytest

from cassiaturn.engine import Submission
from cassiaturn.entities import Outcome, Reason
from cassiaturn.server.tests.fleet import (
    DECKS,
    ORDER,
    eventually,
    fleet_with,
    order,
    submit,
    ticket_of,
)
from cassiaturn.standins import (
    PlatformFault,
    PlatformStandIn,
)
from cassiaturn.v1 import dispatcher_pb2, peer_pb2


async def test_a_successor_adopts_what_a_dead_home_began(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A caller's orders run when their home dies; the caller submits again.

    Another instance sees the home gone, writes the takeover row and fences all
    targets. They tell that every task began, so it waits for the results and
    answers complete; nothing is started a second time.
    """
    async with fleet_with(platform, tmp_path, run_ms=3_000) as fleet:
        async with fleet.client() as client:
            ticket = await ticket_of(client, fleet, 0)
            job = submit(client, fleet, ticket, DECKS, index=0)
            state = fleet.instances[0].state
            await eventually(lambda: len(state.in_flight_by_key) == len(DECKS))
            await eventually(lambda: len(fleet.starts_by_task()) == len(DECKS))
            await fleet.kill(0)
            answer = await job
        assert answer.outcome is Outcome.COMPLETE, answer
        assert len(answer.results) == len(DECKS)
        assert set(fleet.starts_by_task().values()) == {1}


async def test_what_never_began_at_a_dead_home_is_truly_not_run(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """An order waits behind others at its home when the home dies.

    The successor fences every target; each denies the order, so the caller is
    told "not run" and may come back with a new id. The order never starts.
    """
    async with fleet_with(platform, tmp_path, run_ms=2_500) as fleet:
        async with fleet.client() as client:
            blocking = [order(f"block-{number}") for number in range(100)]
            busy = [
                submit(
                    client,
                    fleet,
                    await ticket_of(client, fleet, index),
                    blocking,
                    index=index,
                )
                for index in range(3)
            ]
            states = [instance.state for instance in fleet.instances]
            # Every slot of the fleet is taken, so that the order has to wait.
            await eventually(lambda: all(len(state.queue) > 50 for state in states))
            state = states[0]
            ticket = await ticket_of(client, fleet, 0)
            job = submit(client, fleet, ticket, DECKS, index=0)
            await eventually(lambda: ticket in state.jobs_by_id)
            await fleet.kill(0)
            answer = await job
            for one in busy:
                one.cancel()
        assert answer.outcome is Outcome.NOT_RUN, answer
        assert answer.reason is Reason.SUPERSEDED
        started = {key.submission_id for key in fleet.starts_by_task()}
        assert ticket not in started


async def test_without_the_store_nobody_succeeds_a_dead_home(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """The home dies while the table service is down; the caller asks again.

    Nobody may take over without the row, so the answer is "unknown", not a
    guess. Once the table is back the same id gets its answer.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        ticket = await ticket_of(client, fleet, 0)
        answer = await submit(client, fleet, ticket, DECKS, index=0)
        assert answer.outcome is Outcome.COMPLETE
        platform.state.fault = PlatformFault(down=True)
        await fleet.kill(0)
        lost = await client.submit(
            ORDER,
            DECKS,
            deadline_s=2,
            submission_id=ticket,
            address=fleet.addresses[1],
        )
        assert lost.outcome is Outcome.UNKNOWN
        platform.state.fault = PlatformFault()
        again = await submit(client, fleet, ticket, DECKS, index=1)
        assert again.outcome in (Outcome.COMPLETE, Outcome.UNKNOWN)
        assert set(fleet.starts_by_task().values()) == {1}


async def test_a_younger_incarnation_is_not_taken_for_ended(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """An instance restarts and at once gives a caller a ticket.

    The caller sends it to a peer that has only heard the old incarnation. The
    peer must forward it and not succeed a home that has just begun.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        peers = fleet.instances[1].peers
        younger = await fleet.restart(0)
        peers.mark_ended_if_replaced(younger.incarnation)
        assert not peers.is_gone(younger.incarnation)
        ticket = younger.router.issue_ticket()
        answer = await submit(client, fleet, ticket, DECKS, index=1)
        assert answer.outcome is Outcome.COMPLETE
        assert not younger.superseded.is_set()


async def test_a_fenced_incarnation_says_that_it_does_not_know(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """Targets refuse a home's starts as fenced: a successor has taken over.

    Its callers hear "unknown" at once, and so does whoever comes with one of
    its tickets later; only the successor may say more.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        home = fleet.instances[0]
        for runner in fleet.runners.runners_by_id.values():
            runner.table.fence(home.incarnation)
        ticket = await ticket_of(client, fleet, 0)
        answer = await client.submit(
            ORDER,
            DECKS,
            deadline_s=0.5,
            submission_id=ticket,
            address=fleet.addresses[0],
        )
        assert answer.outcome is Outcome.UNKNOWN
        assert home.superseded.is_set()
        late = home.router.issue_ticket()
        again = await home.router.submit(
            Submission(
                submission_id=late,
                tenant="kwabena",
                caller="test",
                method=ORDER,
                payloads=tuple(DECKS),
                deadline_s=5.0,
            )
        )
        assert again.outcome is Outcome.UNKNOWN
        assert not fleet.starts_by_task()


async def test_a_task_that_still_runs_at_the_deadline_is_not_started_again(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A home dies with long orders running; the caller's deadline comes first.

    The successor knows that they run and has no results yet. It answers
    "unknown", not as if they had never begun, and starts none of them again.
    """
    async with fleet_with(platform, tmp_path, run_ms=9_000) as fleet:
        async with fleet.client() as client:
            ticket = await ticket_of(client, fleet, 0)
            job = asyncio.create_task(
                client.submit(
                    ORDER,
                    DECKS,
                    deadline_s=4.0,
                    submission_id=ticket,
                    address=fleet.addresses[0],
                )
            )
            await eventually(lambda: len(fleet.starts_by_task()) == len(DECKS))
            await fleet.kill(0)
            answer = await job
        assert answer.outcome is Outcome.UNKNOWN
        assert set(fleet.starts_by_task().values()) == {1}


async def test_every_call_to_a_home_that_is_given_up_ends(
    tmp_path: Path, platform: PlatformStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two callers wait through one instance for a home that stands still.

    The home is given up. The first call goes on at once with another instance;
    the second must end too and not be taken for hung up by its caller.
    """
    async with fleet_with(platform, tmp_path) as fleet:
        home, other = fleet.instances[0], fleet.instances[1]

        async def wait_forever(*_: object, **__: object) -> None:
            await asyncio.Event().wait()

        monkeypatch.setattr(home.router, "submit", wait_forever)
        request = peer_pb2.ForwardRequest(
            tenant="kwabena",
            submit=dispatcher_pb2.SubmitRequest(submission_id="x", method=ORDER),
        )

        async def ask_twice() -> None:
            first = await other.peers.forwards.forward(
                home.incarnation, request, timeout_s=30
            )
            assert first is None
            await other.peers.forwards.forward(home.incarnation, request, timeout_s=0.1)

        async def ask() -> None:
            last = await other.peers.forwards.forward(
                home.incarnation, request, timeout_s=30
            )
            assert last is None

        calls = [asyncio.create_task(ask_twice()), asyncio.create_task(ask())]
        await asyncio.sleep(0.2)
        other.peers.forwards.cancel_calls(home.incarnation)
        async with asyncio.timeout(5):
            await asyncio.gather(*calls)
