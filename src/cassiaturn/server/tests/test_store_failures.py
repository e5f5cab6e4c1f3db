"""The table service or the object store is down, or loses its answers."""

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest
from pydantic import TypeAdapter

from cassiaturn.configuration import load_content, propose
from cassiaturn.entities import Outcome, Reason
from cassiaturn.server._claims import wall_ms
from cassiaturn.server._router import Identity
from cassiaturn.server.tests.fleet import (
    CHECK,
    DECKS,
    PROPS,
    eventually,
    fleet_with,
    submit,
    ticket_of,
)
from cassiaturn.services import HttpCaller, HttpTableService, Put
from cassiaturn.standins import (
    PlatformFault,
    PlatformStandIn,
)
from cassiaturn.submission import ClaimRow
from cassiaturn.v1 import dispatcher_pb2


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
        told = await home.router.collect(ticket, stranger)
        assert told.outcome is Outcome.UNKNOWN
        assert not told.results


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
