"""Takeover of the submissions of a home that died, is unresponsive or is fenced."""

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


async def test_a_successor_adopts_tasks_started_by_a_dead_home(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A home dies while non-repeatable tasks run; the caller submits the job elsewhere.

    The new instance writes the takeover row and fences all targets. They report
    every task as started, so it awaits the results, answers complete and starts
    no task a second time.
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


async def test_tasks_never_started_by_a_dead_home_are_reported_not_run(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A home dies while a job waits in its queue.

    The successor fences every target and none of them started a task of the job,
    so the caller gets "not run" and may submit under a new id. No task of the job
    may start afterwards.
    """
    async with fleet_with(platform, tmp_path, run_ms=2_500) as fleet:
        async with fleet.client() as client:
            blocking = [order(f"block-{number}") for number in range(100)]
            blockers = [
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
            # Every slot of the fleet is in use, so the job has to wait.
            await eventually(lambda: all(len(state.queue) > 50 for state in states))
            state = states[0]
            ticket = await ticket_of(client, fleet, 0)
            job = submit(client, fleet, ticket, DECKS, index=0)
            await eventually(lambda: ticket in state.jobs_by_id)
            await fleet.kill(0)
            answer = await job
            for blocker in blockers:
                blocker.cancel()
        assert answer.outcome is Outcome.NOT_RUN, answer
        assert answer.reason is Reason.SUPERSEDED
        started = {key.submission_id for key in fleet.starts_by_task()}
        assert ticket not in started


async def test_no_takeover_while_the_table_service_is_down(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A home dies while the table service is down; the caller submits again.

    No instance may take over without the takeover row, so the answer is "unknown".
    Once the table service is back, the same id gets its answer.
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


async def test_a_newer_incarnation_is_not_treated_as_ended(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """An instance restarts and immediately issues a ticket.

    The caller submits it to a peer that has only heard from the old incarnation.
    The peer must forward the call and not take over the new incarnation.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        peers = fleet.instances[1].peers
        newer = await fleet.restart(0)
        peers.mark_ended_if_replaced(newer.incarnation)
        assert not peers.is_gone(newer.incarnation)
        ticket = newer.router.issue_ticket()
        answer = await submit(client, fleet, ticket, DECKS, index=1)
        assert answer.outcome is Outcome.COMPLETE
        assert not newer.superseded.is_set()


async def test_a_fenced_incarnation_answers_unknown(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A successor has taken over, so the targets refuse a home's starts as fenced.

    The home answers "unknown" to its waiting callers at once, and to later
    submissions of its tickets too; only the successor may give other answers.
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
    """A home dies while its tasks run past the caller's deadline.

    The successor knows that they run and has no results yet. It must answer
    "unknown" and start none of them again.
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


async def test_every_call_forwarded_to_an_unresponsive_home_ends(
    tmp_path: Path, platform: PlatformStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two calls forwarded by one instance wait for a home that never answers.

    The home is declared gone and the calls to it are cancelled. The first caller
    forwards again at once; the second call must still end with no reply and not
    be treated as if its caller had hung up.
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

        async def forward_twice() -> None:
            first = await other.peers.forwards.forward(
                home.incarnation, request, timeout_s=30
            )
            assert first is None
            await other.peers.forwards.forward(home.incarnation, request, timeout_s=0.1)

        async def forward_once() -> None:
            last = await other.peers.forwards.forward(
                home.incarnation, request, timeout_s=30
            )
            assert last is None

        calls = [
            asyncio.create_task(forward_twice()),
            asyncio.create_task(forward_once()),
        ]
        await asyncio.sleep(0.2)
        other.peers.forwards.cancel_calls(home.incarnation)
        async with asyncio.timeout(5):
            await asyncio.gather(*calls)
