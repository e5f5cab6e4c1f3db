"""Tests of the end of a network partition: no task runs twice at the same time."""

import asyncio

from cassiaturn.platform.tests.fleet import (
    CONFIGURATION,
    PREFIX,
    Fleet,
    RunningMember,
)
from cassiaturn.platform.tests.standin_runner import StandinRunner
from cassiaturn.platform.tests.standin_store import StandinStore

JOB = "5c0e7a21d94b36f8"

COMPLETED = (200, '{"state":"completed"}')

TASKS = {"count": 4, "cpu": 4_000, "memMb": 64, "estimatedMs": 1_200}

RUN_S = 1.2
"""Length of the other side's tasks: longer than its leases last after the heal."""


class _OtherSide:
    """A member that leads alone, with a store and targets that the fleet lacks."""

    def __init__(self) -> None:
        self.store = StandinStore()
        self.runners = [StandinRunner(f"other-{n}", run_s=RUN_S) for n in range(2)]
        self.store.start()
        self.store.state.put("op", "config", CONFIGURATION)
        for runner in self.runners:
            runner.start()
            self.store.state.put("servers", runner.target.target_id, runner.entry())
        self.member = RunningMember("front-other", store=self.store.address, seeds=())

    async def close(self) -> None:
        await self.member.kill()
        for runner in self.runners:
            await runner.close()
        await self.store.close()


async def test_tasks_of_the_other_side_do_not_start_again_in_a_young_term(
    fleet: Fleet,
) -> None:
    """Guards against two runs of a task after a planned change during a partition.

    The fleet's leader has just been replaced, and all targets of its side have
    reported. Then the partition heals: the leader of the other side steps down while
    its tasks run, and its targets reach the fleet's directory only after that.
    """
    other = _OtherSide()
    await other.member.start()
    await fleet.until(lambda: other.member.member.leader_hears_targets == 2)
    waiting = asyncio.ensure_future(
        fleet.request(
            other.member,
            "POST",
            PREFIX + JOB,
            headers={"X-Cassiaturn-Deadline-Ms": "6000"},
            json={"taskSpec": "x", "bestEffort": True, "steps": [TASKS]},
        )
    )
    await fleet.until(lambda: sum(len(r.starts) for r in other.runners) == 4)
    stopping = fleet.leader()
    await stopping.member.stop()
    successor = fleet.leader().member
    await fleet.until(lambda: successor.leader_hears_targets == 4)
    assert successor.leader is not None
    other.member.member.note_reachable_leader(successor.leader.leadership)
    await fleet.until(lambda: other.member.member.leader is None)
    await asyncio.sleep(0.1)
    for runner in other.runners:
        fleet.publish(runner)
    assert (await waiting)[:2] == COMPLETED
    assert [runner.starts for runner in fleet.runners] == [[], [], [], []]
    assert sum(len(runner.starts) for runner in other.runners) == 4
    await other.close()
