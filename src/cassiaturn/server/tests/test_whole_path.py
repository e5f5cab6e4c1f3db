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


async def test_a_job_of_many_tasks_comes_back_whole_and_in_order(
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


async def test_a_resubmission_elsewhere_gets_the_first_answer(tmp_path: Path) -> None:
    """A caller submits a ticket to its home and, at once, to both others.

    The others find the home in the ticket and forward. All three calls return
    one answer, and each task was started once.
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
async def test_bad_input_is_refused_before_anything_starts(
    tmp_path: Path, method: str, tasks: list[bytes], reason: Reason
) -> None:
    async with Fleet(directory=tmp_path, domains=("osu",)) as fleet:
        async with fleet.client() as client:
            answer = await client.submit(method, tasks, deadline_s=5)
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.reason is reason
        assert answer.detail
        assert not fleet.starts_by_task()


async def test_a_planned_stop_cuts_nothing(tmp_path: Path) -> None:
    """Callers have jobs at an instance that is told to stop.

    It takes nothing new, finishes what it has and only then closes; every
    caller gets its whole answer from it and no task is started twice.
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


async def test_a_cancelled_job_ends_at_once_and_says_what_ran(tmp_path: Path) -> None:
    """A caller cancels a job of which some tasks run and some wait.

    The answer comes before the running tasks could end; it says that some ran,
    and a resubmission of the same id gets the same answer.
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
