"""Tests of the fake runner that other tests count starts with."""

import asyncio

import pytest
from returns.result import Success

from cassiaturn.entities import TaskRef
from cassiaturn.platform.tests.standin_runner import StandinRunner
from cassiaturn.transport.http_client import HttpClient

REF = TaskRef("5c0e7a21d94b36f8", 0, 0, 0)


@pytest.mark.parametrize(("second_run", "starts"), [(1, [REF]), (2, [REF, REF])])
async def test_only_a_new_run_counts_as_a_start(
    second_run: int, starts: list[TaskRef]
) -> None:
    """Guards against counting a repeated order as a second start of its task.

    An order without an answer in time is sent again. A loaded process reads both, and
    the target answers both with success although it started the run once.
    """
    runner = StandinRunner("i-0", run_s=5.0)
    runner.start()
    client = HttpClient()
    for run in (1, second_run):
        order = {
            "task": "5c0e7a21d94b36f8.0.0.0",
            "run": run,
            "taskSpec": "x",
            "deadlineMs": runner.clock_ms() + 1_000,
        }
        reply = await client.call(
            "POST",
            runner.address,
            "/api/run-start",
            body=order,
            headers={"X-Cassiaturn-Expected-Instance": "i-0"},
            timeout_s=2.0,
        )
        assert isinstance(reply, Success)
        assert reply.unwrap().status == 200
    await client.close()
    await runner.close()
    assert runner.starts == starts


@pytest.mark.parametrize("run", [1, 2])
async def test_an_order_that_is_read_after_its_run_has_ended_is_refused(
    run: int,
) -> None:
    """Guards against a fake that starts a task again for a copy that comes late."""
    runner = StandinRunner("i-0", run_s=0.01)
    runner.start()
    client = HttpClient()
    statuses = []
    for number in (2, run):
        order = {
            "task": "5c0e7a21d94b36f8.0.0.0",
            "run": number,
            "taskSpec": "x",
            "deadlineMs": runner.clock_ms() + 1_000,
        }
        reply = await client.call(
            "POST",
            runner.address,
            "/api/run-start",
            body=order,
            headers={"X-Cassiaturn-Expected-Instance": "i-0"},
            timeout_s=2.0,
        )
        assert isinstance(reply, Success)
        statuses.append(reply.unwrap().status)
        await asyncio.sleep(0.05)
    await client.close()
    await runner.close()
    assert statuses == [200, 409]
    assert runner.starts == [REF]
