"""Leaders stop while runners are added and the store is slow: tasks run twice."""

import asyncio
import itertools
import signal
import time
from collections.abc import Iterator

from small_fleet.case import main
from small_fleet.deployment import Deployment, Instance, Record, overlaps

ANSWER_S = 0.004
SLOWER = 22
"""How many times as long the store takes; the pages allow 60."""

JOB_PERIOD_S = 0.045
"""Period of the jobs at each of the three machines: 67 a second in all."""

RUNNERS = 24
NEW_RUNNERS = 6
ADDING_S = 2.0
STOP_AFTER_S = (0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95)
"""When the leader of each round is stopped, after its first runner was added."""

SPEC = "seconds=0.6 cpu=1000"
STEPS: list[dict[str, object]] = [
    {"count": 1, "cpu": 1_000, "memMb": 64, "estimatedMs": 600}
]
LIMIT_MS = 1_500


async def send_jobs(
    deployment: Deployment, instance: Instance, numbers: Iterator[int]
) -> None:
    """Submit jobs to one machine at a steady rate until cancelled."""
    async with asyncio.TaskGroup() as group:
        for number in numbers:
            job_id = f"{number:016x}"
            group.create_task(
                deployment.post(
                    instance, job_id, steps=STEPS, spec=SPEC, limit_ms=LIMIT_MS
                )
            )
            await asyncio.sleep(JOB_PERIOD_S)


async def add_runners(deployment: Deployment) -> None:
    """Add runners one after the other, in all zones by turns."""
    zones = [instance.zone for instance in deployment.instances]
    for number in range(NEW_RUNNERS):
        zone = zones[number % len(zones)]
        await deployment.add_runner(f"i-000001{number:02x}", zone=zone)
        await asyncio.sleep(ADDING_S / NEW_RUNNERS)


async def play_round(
    record: Record, stop_after_s: float, *, with_trouble: bool
) -> list[str]:
    """Add runners to a new deployment and stop its leader meanwhile.

    The trouble is the slow store.
    """
    deployment = Deployment(record=record, zones=["osu", "makola", "tema"])
    numbers = itertools.count(1)
    sending: list[asyncio.Task[None]] = []
    try:
        await deployment.start(runners=RUNNERS)
        sending = [
            asyncio.create_task(send_jobs(deployment, instance, numbers))
            for instance in deployment.instances
        ]
        await asyncio.sleep(2.0)
        if with_trouble:
            deployment.store.answer_s = SLOWER * ANSWER_S
            record.note(f"the store is {SLOWER} times slower from now on")
        await asyncio.sleep(0.8)
        adding = asyncio.create_task(add_runners(deployment))
        await asyncio.sleep(stop_after_s)
        leader = deployment.leader()
        record.note(f"SIGTERM {leader.name}, which leads")
        leader.send(signal.SIGTERM)
        await adding
        await asyncio.sleep(1.0)
        deployment.store.answer_s = ANSWER_S
        record.note("the store is as fast as before")
        await asyncio.sleep(1.0)
        deployment.note_ends()
        return [
            f"TWICE: {one.task} ran on {one.runner} and {other.runner} "
            f"at the same time for {for_s:.3f} s"
            for one, other, for_s in overlaps(deployment.history.runs, time.monotonic())
        ]
    finally:
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        await deployment.close()


async def play(record: Record, with_trouble: bool) -> list[str]:
    """Play all rounds, each with a deployment of its own."""
    broken = []
    for number, stop_after_s in enumerate(STOP_AFTER_S, start=1):
        record.note(f"round {number}")
        broken += await play_round(record, stop_after_s, with_trouble=with_trouble)
    return broken


if __name__ == "__main__":
    main(play)
