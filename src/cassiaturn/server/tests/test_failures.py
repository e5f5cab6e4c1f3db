import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

import pytest
from pydantic import TypeAdapter

from cassiaturn.client import Client
from cassiaturn.configuration import load_content, propose
from cassiaturn.engine import Submission
from cassiaturn.entities import Answer, Outcome, Ran, Reason
from cassiaturn.platform import HttpCaller, HttpTableService, Put
from cassiaturn.server._claims import wall_ms
from cassiaturn.server._homes import Identity
from cassiaturn.server.tests.fleet import (
    CHECK,
    ORDER,
    Fleet,
    availability,
    eventually,
    order,
)
from cassiaturn.standins import (
    FaultRequest,
    PlatformFault,
    PlatformSettings,
    PlatformStandIn,
    RunnerFault,
)
from cassiaturn.submission import ClaimRow
from cassiaturn.v1 import dispatcher_pb2, peer_pb2

DECKS = [order(f"deck-{number}") for number in range(4)]
PROPS = [availability(f"prop-{number}") for number in range(4)]


@pytest.fixture
async def platform() -> AsyncIterator[PlatformStandIn]:
    stand_in = PlatformStandIn(settings=PlatformSettings(port=0))
    await stand_in.start()
    yield stand_in
    await stand_in.close()


def fleet_with(
    platform: PlatformStandIn, directory: Path, *, run_ms: float = 100.0
) -> Fleet:
    return Fleet(
        directory=directory,
        table_url=f"http://127.0.0.1:{platform.port}",
        run_ms=run_ms,
    )


async def ticket_of(client: Client, fleet: Fleet, index: int) -> str:
    ticket, _ = await client._take_ticket([fleet.addresses[index]], 1e9)
    return ticket


def submit(
    client: Client, fleet: Fleet, ticket: str, tasks: list[bytes], *, index: int
) -> "asyncio.Task[Answer]":
    return asyncio.create_task(
        client.submit(
            ORDER,
            tasks,
            deadline_s=20,
            submission_id=ticket,
            address=fleet.addresses[index],
        )
    )


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


async def test_an_own_id_at_three_instances_at_once_runs_once(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A caller sends one id of its own to three instances at the same time.

    One insert wins; the others read the row and forward. All get one answer.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        jobs = [
            submit(client, fleet, "order-4711", DECKS, index=index)
            for index in range(3)
        ]
        answers = await asyncio.gather(*jobs)
        assert answers == [answers[0]] * 3
        assert answers[0].outcome is Outcome.COMPLETE
        assert set(fleet.starts_by_task().values()) == {1}


async def test_lost_answers_of_the_store_start_nothing_twice(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """Half of the table's answers are lost after the insert took effect.

    The ledger reads the rows again and knows its own by the token. Each id gets
    one final answer, whatever instance it was sent to.
    """
    platform.state.fault = PlatformFault(answer_lost_share=0.5)
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        jobs = [
            submit(client, fleet, f"own-{number}", DECKS, index=index)
            for number in range(10)
            for index in (0, 2)
        ]
        answers = await asyncio.gather(*jobs)
        assert {answer.outcome for answer in answers} == {Outcome.COMPLETE}
        assert set(fleet.starts_by_task().values()) == {1}


async def test_tickets_work_while_the_store_is_down(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """The table service goes down under a running fleet.

    Tickets need no write, so those jobs complete; an id of the caller's own is
    answered "unknown", since nobody can say whose it is.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        platform.state.fault = PlatformFault(down=True)
        answer = await client.submit(CHECK, PROPS, deadline_s=10)
        assert answer.outcome is Outcome.COMPLETE
        own = await client.submit(
            CHECK, PROPS, deadline_s=1, submission_id="own-during-outage"
        )
        assert own.outcome is Outcome.UNKNOWN
        assert own.reason is Reason.STORE_UNREACHABLE
        started = {key.submission_id for key in fleet.starts_by_task()}
        assert started == {answer.submission_id}


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


async def test_a_proposal_is_in_force_on_every_instance(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """An operator adds a tenant; until then its calls are refused as unknown.

    Every instance takes the new version, and none goes back to the file.
    """
    async with fleet_with(platform, tmp_path) as fleet:
        caller = HttpCaller(base_url=f"http://127.0.0.1:{platform.port}", timeout_s=2.0)
        changed = tmp_path / "changed.yaml"
        changed.write_text(
            "tenants:\n  - {name: kwabena, quota_slots: 10}\n"
            "  - {name: guild, quota_slots: 20}\n"
        )
        content = load_content(changed).unwrap()
        await propose(
            table=HttpTableService(caller=caller),
            content=content,
            expected_version=0,
            author="ama",
            token="one",
        )
        await eventually(
            lambda: all(
                "guild" in instance.state.tenants_by_name
                for instance in fleet.instances
            )
        )
        caller.close()


async def test_a_younger_incarnation_is_not_taken_for_ended(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """An instance restarts and at once gives a caller a ticket.

    The caller sends it to a peer that has only heard the old incarnation. The
    peer must forward it and not succeed a home that has just begun.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        peers = fleet.instances[1].peers
        younger = await fleet.start_unlinked(0)
        peers.note_unknown(younger.incarnation)
        assert not peers.is_gone(younger.incarnation)
        ticket = younger.homes.issue_ticket()
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
        late = home.homes.issue_ticket()
        again = await home.homes.submit(
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


async def test_results_in_the_object_store_come_back_whole_or_not_at_all(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A caller collects a job whose results were moved to the object store.

    While the store is silent the answer is "unknown" and not a complete one
    without results; once it answers, the results are whole. Another tenant is
    told nothing of the job.
    """
    async with fleet_with(platform, tmp_path) as fleet, fleet.client() as client:
        home = fleet.instances[0]
        ticket = await ticket_of(client, fleet, 0)
        first = await submit(client, fleet, ticket, DECKS, index=0)
        key = "result/test"
        content = dispatcher_pb2.Answer(results=first.results).SerializeToString()
        platform.state.objects_by_key[key] = content
        record = home.state.submissions.get(ticket)
        assert record is not None
        record.answer = replace(first, results=(), result_object=key)
        platform.state.fault = PlatformFault(down=True)
        silent = await client.collect(ticket)
        assert silent.outcome is Outcome.UNKNOWN
        platform.state.fault = PlatformFault()
        whole = await client.collect(ticket)
        assert whole.results == first.results, whole
        stranger = Identity(tenant="guild", caller="x")
        told = await home.homes.collect(ticket, stranger)
        assert told.outcome is Outcome.UNKNOWN
        assert not told.results


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


async def test_old_claims_are_deleted_and_young_ones_stay(
    tmp_path: Path, platform: PlatformStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The table fills with claims of homes that are gone.

    Any instance deletes those past their retention; a claim that a caller may
    still come back for stays, or its order would run a second time.
    """
    monkeypatch.setattr("cassiaturn.server._claims.SWEEP_S", 0.05)
    old = ClaimRow(submission_id="old", home="x~10000000001", token="t", claimed_ms=1)
    young = replace(old, submission_id="young", claimed_ms=wall_ms())
    for row in (old, young):
        value = TypeAdapter(ClaimRow).dump_json(row).decode()
        platform.state.table.transact([Put(key=row.key, value=value)])
    async with fleet_with(platform, tmp_path):
        await eventually(lambda: not platform.state.table.read([old.key]))
        assert platform.state.table.read([young.key])


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

        async def stand_still(*_: object, **__: object) -> None:
            await asyncio.Event().wait()

        monkeypatch.setattr(home.homes, "submit", stand_still)
        request = peer_pb2.ForwardRequest(
            tenant="kwabena",
            submit=dispatcher_pb2.SubmitRequest(submission_id="x", method=ORDER),
        )

        async def ask_twice() -> None:
            first = await other.peers.forward(home.incarnation, request, timeout_s=30)
            assert first is None
            await other.peers.forward(home.incarnation, request, timeout_s=0.1)

        async def ask() -> None:
            last = await other.peers.forward(home.incarnation, request, timeout_s=30)
            assert last is None

        calls = [asyncio.create_task(ask_twice()), asyncio.create_task(ask())]
        await asyncio.sleep(0.2)
        other.peers._give_up_calls(home.incarnation)
        async with asyncio.timeout(5):
            await asyncio.gather(*calls)
