"""Jobs from submission to answer over several instances, without faults."""

import asyncio
from pathlib import Path

import pytest

from cassiaturn.entities import Outcome, Ran, Reason
from cassiaturn.server.tests.fleet import (
    CHECK,
    ORDER,
    Fleet,
    availability,
    eventually,
    order,
    ticket_of,
)
from cassiaturn_examples.kwabena import props_pb2


async def test_results_of_a_large_job_are_complete_and_in_order(
    tmp_path: Path,
) -> None:
    tasks = [availability(f"prop-{number}") for number in range(60)]
    async with Fleet(directory=tmp_path, run_ms=20) as fleet:
        async with fleet.client() as client:
            answer = await client.submit(CHECK, tasks, deadline_s=10)
        assert answer.outcome is Outcome.COMPLETE
        replies = [
            props_pb2.AvailabilityReply.FromString(result) for result in answer.results
        ]
        assert [r.prop_id for r in replies] == [f"prop-{n}" for n in range(60)]
        assert set(fleet.starts_by_task().values()) == {1}


async def test_a_resubmission_to_other_instances_gets_the_same_answer(
    tmp_path: Path,
) -> None:
    """A caller submits one ticket to its home and to both other instances at once.

    The others must forward to the home that the ticket names. All three calls
    return the same answer, and each task is started once.
    """
    async with Fleet(directory=tmp_path) as fleet, fleet.client() as client:
        ticket = await ticket_of(client, fleet, 0)
        answers = await asyncio.gather(
            *(
                client.submit(
                    ORDER,
                    [order("deck"), order("other")],
                    deadline_s=10,
                    submission_id=ticket,
                    address=address,
                )
                for address in fleet.addresses
            )
        )
        assert answers[0].outcome is Outcome.COMPLETE
        assert answers == [answers[0]] * 3
        assert sorted(fleet.starts_by_task().values()) == [1, 1]


@pytest.mark.parametrize(
    ("method", "tasks", "reason"),
    [
        ("kwabena.v1.Props/Nothing", [b""], Reason.INVALID),
        (CHECK, [], Reason.INVALID),
        (CHECK, [b""] * 751, Reason.INVALID),
        (CHECK, [b"x" * 70_000], Reason.INVALID),
    ],
)
async def test_an_invalid_submission_is_refused_before_any_start(
    tmp_path: Path, method: str, tasks: list[bytes], reason: Reason
) -> None:
    async with Fleet(directory=tmp_path, domains=("osu",)) as fleet:
        async with fleet.client() as client:
            answer = await client.submit(method, tasks, deadline_s=5)
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.reason is reason
        assert answer.detail
        assert not fleet.starts_by_task()


async def test_a_planned_stop_completes_accepted_jobs(tmp_path: Path) -> None:
    """An instance with running jobs gets a planned stop.

    It accepts nothing new, finishes its jobs and only then closes. Every caller
    gets a complete answer from it and no task is started twice.
    """
    async with Fleet(directory=tmp_path, run_ms=300) as fleet:
        async with fleet.client() as client:
            first = fleet.addresses[0]
            jobs = [
                asyncio.create_task(
                    client.submit(ORDER, [order("d")], deadline_s=10, address=first)
                )
                for _ in range(20)
            ]
            leaving = fleet.instances[0]
            await eventually(lambda: len(leaving.state.jobs_by_id) == 20)
            await leaving.stop()
            answers = await asyncio.gather(*jobs)
        assert {answer.outcome for answer in answers} == {Outcome.COMPLETE}
        assert client.resubmissions == 0
        assert set(fleet.starts_by_task().values()) == {1}


async def test_a_cancelled_job_ends_at_once_and_reports_what_ran(
    tmp_path: Path,
) -> None:
    """A caller cancels a job while some of its tasks run and others wait.

    The answer arrives before the running tasks can end and says that tasks may
    have run. A resubmission of the same id gets the same answer.
    """
    fleet = Fleet(directory=tmp_path, domains=("osu",), run_ms=2_000)
    async with fleet, fleet.client() as client:
        ticket = await ticket_of(client, fleet, 0)
        tasks = [order(f"deck-{number}") for number in range(40)]
        job = asyncio.create_task(
            client.submit(ORDER, tasks, deadline_s=30, submission_id=ticket)
        )
        state = fleet.instances[0].state
        await eventually(lambda: len(state.in_flight_by_key) == 16)
        cancelled, answer = await client.cancel(ticket)
        assert cancelled
        assert answer.outcome is Outcome.FAILED
        assert answer.ran is Ran.MAYBE
        assert await job == answer
        again = await client.submit(ORDER, tasks, deadline_s=5, submission_id=ticket)
        assert again == answer
