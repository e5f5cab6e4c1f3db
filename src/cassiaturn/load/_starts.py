"""Task starts a second of one instance, and the processor time of each.

One instance holds a few runners whose tasks end at once; callers keep jobs of
many tasks in flight. Processor time comes from the operating system, so that the
figure is one core's whatever else the machine does meanwhile.
"""

import asyncio
import os
import time
from dataclasses import dataclass
from pathlib import Path

from cassiaturn.client import Client
from cassiaturn.entities import Address, Outcome
from cassiaturn.load._documents import write_settings
from cassiaturn.load._layout import Layout, plan_layout
from cassiaturn.load._run import THIS_PROGRAM
from cassiaturn.load._scenario import Scenario
from cassiaturn.load._site import Site
from cassiaturn_examples.kwabena import props_pb2

METHOD = "kwabena.v1.Props/CheckAvailability"
TENANT = "accra-counter"
WARM_UP_S = 1.0
DEADLINE_S = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class StartFigures:
    """What one instance did."""

    tasks: int
    """Tasks completed while it was measured."""

    seconds: float
    """Wall clock, in seconds."""

    cpu_seconds: float
    """Processor time of the instance, in seconds."""

    resident_mib: float
    """Memory of the instance at the end, in MiB."""

    @property
    def starts_per_s(self) -> float:
        """Starts a second as they came."""
        return self.tasks / self.seconds

    @property
    def starts_per_cpu_s(self) -> float:
        """Starts a second that one core carries."""
        return self.tasks / self.cpu_seconds


async def measure_starts(
    scenario: Scenario,
    directory: Path,
    *,
    tasks_per_job: int,
    jobs_in_flight: int,
    seconds: float,
) -> StartFigures:
    """Keep one instance busy and measure it.

    :param scenario: deployment of one instance, with tasks that end at once.
    :param tasks_per_job: tasks of each job.
    :param jobs_in_flight: jobs that callers keep open.
    :param seconds: time measured, in seconds.
    """
    layout = plan_layout(scenario, directory)
    write_settings(scenario, layout)
    site = Site(layout=layout, program=THIS_PROGRAM)
    try:
        await site.start()
        return await _measure(
            site, layout, tasks_per_job, jobs_in_flight, seconds=seconds
        )
    finally:
        await site.stop()


async def _measure(
    site: Site, layout: Layout, tasks_per_job: int, jobs: int, *, seconds: float
) -> StartFigures:
    pid = site.instances[0].pid
    done = [0]
    loops = [
        asyncio.create_task(
            _keep_busy(layout.instances[0].address, tasks_per_job, done, f"c{number}")
        )
        for number in range(jobs)
    ]
    await asyncio.sleep(WARM_UP_S)
    tasks_before, cpu_before, began = done[0], cpu_seconds_of(pid), time.monotonic()
    await asyncio.sleep(seconds)
    figures = StartFigures(
        tasks=done[0] - tasks_before,
        seconds=time.monotonic() - began,
        cpu_seconds=cpu_seconds_of(pid) - cpu_before,
        resident_mib=resident_mib_of(pid),
    )
    for loop in loops:
        loop.cancel()
    await asyncio.gather(*loops, return_exceptions=True)
    return figures


async def _keep_busy(
    address: Address, tasks_per_job: int, done: list[int], caller: str
) -> None:
    payload = props_pb2.AvailabilityRequest(prop_id="p" * 80).SerializeToString()
    tasks = [payload] * tasks_per_job
    async with Client(addresses=[address], tenant=TENANT, caller=caller) as client:
        while True:
            answer = await client.submit(METHOD, tasks, deadline_s=DEADLINE_S)
            if answer.outcome is Outcome.COMPLETE:
                done[0] += len(answer.results)


def cpu_seconds_of(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")


def resident_mib_of(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
