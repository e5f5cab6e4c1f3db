"""TWICE: orders to runners that began again under their ids are carried out late.

Each of seven runners, one at a time, crashes and starts again under its id. Later, half
of all orders get no answer for 5.5 s and are carried out 2 to 12 s later, five times.
"""

import asyncio
import random
from pathlib import Path

from deployment import (
    PREFIX,
    RESEND_S,
    Deployment,
    is_troubled,
    job_document,
    run_case,
)
from runner import Run, Runner

RUNNERS = 7
UP_BEFORE_S = 480.0
WORK_S = 5.0
LIMIT_S = 14.0
LATE_SHARE = 0.5
LATE_FOR_S = 5.5
EPISODES = 5


async def case(deployment: Deployment) -> list[str]:
    """Play the case; return each start beside a run of the same task."""
    breaches: list[str] = []

    def check_start(runner: Runner, run: Run) -> None:
        for other in deployment.runners:
            if other is not runner and other.is_up and other.has(run.task):
                text = (
                    f"{run.task} run {run.number} starts on {runner.id} while"
                    f" run {other.runs[run.task].number} goes on on {other.id}"
                )
                breaches.append(text)
                deployment.record(f"BROKEN TWICE: {text}")

    for place in range(RUNNERS):
        deployment.add_runner(
            f"i-{place}",
            zone=f"zone-{place % 3}",
            labels=["a", f"r1-{place % 2}"],
            on_start=check_start,
        )
    await deployment.start(runners_up_for_s=UP_BEFORE_S)
    trouble = asyncio.create_task(_trouble(deployment))
    clients: list[asyncio.Task[None]] = []
    while not trouble.done():
        clients.append(asyncio.create_task(_client(deployment, len(clients))))
        await asyncio.sleep(1.2)
    trouble.result()
    await asyncio.sleep(12.0)
    for client in clients:
        client.cancel()
    return breaches


async def _trouble(deployment: Deployment) -> None:
    await asyncio.sleep(2.0)
    for runner in deployment.runners:
        if is_troubled():
            await runner.crash()
        await asyncio.sleep(1.0)
        if is_troubled():
            await runner.boot()
        await asyncio.sleep(0.5)
    for _ in range(EPISODES):
        await asyncio.sleep(6.0)
        for runner in deployment.runners:
            runner.late_share = LATE_SHARE if is_troubled() else 0.0
        await asyncio.sleep(LATE_FOR_S)
        for runner in deployment.runners:
            runner.late_share = 0.0


async def _client(deployment: Deployment, number: int) -> None:
    """Hand a job in, and again as the pages say, at another dispatcher each time."""
    job_id = f"{random.getrandbits(32):08x}{number:08x}"
    document = job_document(2, WORK_S)
    for attempt in range(3):
        member = deployment.members[(number + attempt) % len(deployment.members)]
        answer = await deployment.request(
            member, "POST", PREFIX + job_id, document=document, limit_s=LIMIT_S
        )
        if answer is not None and answer[0] not in (502, 504):
            return
        await asyncio.sleep(RESEND_S)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
