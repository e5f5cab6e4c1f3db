"""Tests of callers whose own timeout differs from that of their route."""

import asyncio
import time
from typing import Any

import pytest

from cassiaturn.platform.tests.fleet import CONFIGURATION, PREFIX, Fleet

COMPLETED = (200, '{"state":"completed"}')

RUN_S = 0.6


def _with_timeout(version: int, timeout_ms: int) -> dict[str, Any]:
    route = {**CONFIGURATION["routes"][0], "timeoutMs": timeout_ms}  # type: ignore[index]
    return {**CONFIGURATION, "version": version, "routes": [route]}


async def _publish(fleet: Fleet, version: int, timeout_ms: int) -> None:
    fleet.store.state.put("op", "config", _with_timeout(version, timeout_ms))
    await fleet.until(
        lambda: all(
            member.member.routing.version == version for member in fleet.members
        )
    )


async def _submit(
    fleet: Fleet, number: int, timeout_header: str
) -> tuple[int, str, str]:
    step = {"count": 2, "cpu": 4_000, "memMb": 64, "estimatedMs": 50}
    return await fleet.request(
        fleet.members[number % 3],
        "POST",
        f"{PREFIX}{number:016x}",
        headers={"X-Cassiaturn-Deadline-Ms": timeout_header},
        json={"taskSpec": "x", "bestEffort": True, "steps": [step]},
    )


@pytest.fixture
async def long_runs(fleet: Fleet) -> Fleet:
    for runner in fleet.runners:
        runner.run_s = RUN_S
    return fleet


@pytest.mark.parametrize(
    "timeout_header", ["4000", "", "0", "-5", "nan", "inf", "soon"]
)
async def test_a_job_longer_than_its_routes_timeout_is_served(
    long_runs: Fleet, timeout_header: str
) -> None:
    """Guards against ending a job at its route's timeout while its caller waits."""
    await _publish(long_runs, 5, timeout_ms=200)
    assert (await _submit(long_runs, 1, timeout_header))[:2] == COMPLETED


async def test_changing_a_route_timeout_ends_no_running_job(
    long_runs: Fleet,
) -> None:
    """Guards against ending running jobs when a route's timeout is shortened."""
    waiting = []
    for version, timeout_ms in ((5, 1500), (6, 100), (9, 0), (12, 300)):
        await _publish(long_runs, version, timeout_ms=timeout_ms)
        waiting += [
            asyncio.ensure_future(_submit(long_runs, 3 * version + place, "4000"))
            for place in range(3)
        ]
    answers = await asyncio.gather(*waiting)
    assert {answer[:2] for answer in answers} == {COMPLETED}


async def test_a_caller_with_a_shorter_timeout_than_its_route_is_answered_in_time(
    long_runs: Fleet,
) -> None:
    """Guards against an answer after the caller's own timeout."""
    await _publish(long_runs, 5, timeout_ms=4000)
    began_at = time.monotonic()
    assert (await _submit(long_runs, 1, "300"))[0] == 504
    assert time.monotonic() - began_at < RUN_S
