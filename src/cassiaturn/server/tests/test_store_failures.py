"""Outages and lost responses of the table service and the object store."""

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


async def test_a_caller_chosen_id_sent_to_three_instances_runs_once(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A caller submits the same self-chosen id to three instances at the same time.

    One insert wins; the other instances read the row and forward to the winner.
    All calls return the same answer.
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


async def test_lost_table_responses_start_no_task_twice(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """Half of the table service's responses are lost after the insert took effect.

    The claim ledger must read the rows again and recognise its own by their token.
    Each id gets one final answer, whichever instance it was sent to.
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


async def test_tickets_work_while_the_table_service_is_down(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """The table service goes down while the fleet runs.

    Tickets need no write, so jobs with tickets complete. A caller-chosen id is
    answered "unknown", since its owner cannot be determined.
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


async def test_offloaded_results_are_returned_completely_or_not_at_all(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """A caller collects a job whose results were moved to the object store.

    While the store is down the answer must be "unknown", not complete without
    results; once it is back, all results are returned. Another tenant gets
    nothing of the job.
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
        unavailable = await client.collect(ticket)
        assert unavailable.outcome is Outcome.UNKNOWN
        platform.state.fault = PlatformFault()
        complete = await client.collect(ticket)
        assert complete.results == first.results, complete
        other_tenant = Identity(tenant="guild", caller="x")
        reply = await home.router.collect(ticket, other_tenant)
        assert reply.outcome is Outcome.UNKNOWN
        assert not reply.results


async def test_expired_claims_are_deleted_and_recent_ones_kept(
    tmp_path: Path, platform: PlatformStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The table fills with claims of homes that are gone.

    Any instance deletes expired claims. A claim within its retention must stay,
    or a resubmission of its id would run the tasks a second time.
    """
    monkeypatch.setattr("cassiaturn.server._claims.SWEEP_S", 0.05)
    old = ClaimRow(submission_id="old", home="x~10000000001", token="t", claimed_ms=1)
    recent = replace(old, submission_id="young", claimed_ms=wall_ms())
    for row in (old, recent):
        value = TypeAdapter(ClaimRow).dump_json(row).decode()
        platform.state.table.transact([Put(key=row.key, value=value)])
    async with fleet_with(platform, tmp_path):
        await eventually(lambda: not platform.state.table.read([old.key]))
        assert platform.state.table.read([recent.key])


async def test_a_proposed_configuration_takes_effect_on_every_instance(
    tmp_path: Path, platform: PlatformStandIn
) -> None:
    """An operator proposes a configuration with a tenant unknown until then.

    Every instance must apply the new version, and none may return to the
    configuration file.
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
