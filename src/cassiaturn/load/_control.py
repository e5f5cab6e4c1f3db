"""What control costs an instance that serves nothing.

Some instances and targets stand idle for a while; processor time and memory come
from the operating system, frames and bytes from the instances' own metrics, reads
and writes from the table service.
"""

import asyncio
import json
import re
import statistics
import tempfile
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient

from cassiaturn.load._documents import write_settings
from cassiaturn.load._layout import plan_layout
from cassiaturn.load._run import THIS_PROGRAM
from cassiaturn.load._scenario import Deployment, Scenario
from cassiaturn.load._site import Site
from cassiaturn.load._starts import cpu_seconds_of, resident_mib_of

SETTLING_S = 5.0
"""Time for links and streams to open before anything is measured."""

_SAMPLE = re.compile(r"^cassiaturn_peer_(frames|bytes)_total\{(.*)\} (\S+)$")


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlFigures:
    """Cost of control for each instance, as means over all of a run."""

    instances: int
    """Instances that ran."""

    targets: int
    """Targets that ran."""

    cpu_share: float
    """Share of one core."""

    resident_mib: float
    """Resident memory, in MiB."""

    bytes_per_s: float
    """Bytes sent and received between instances, a second."""

    frames_per_s: float
    """Frames sent and received between instances, a second."""

    reads_per_s: float
    """Reads of the table service, a second."""

    writes_per_s: float
    """Writes to the table service, a second."""

    def to_line(self) -> str:
        """Return the figures as one line of key=value pairs."""
        return (
            f"event=control_measured instances={self.instances}"
            f" targets={self.targets} cpu_percent={self.cpu_share * 100:.2f}"
            f" resident_mib={self.resident_mib:.1f}"
            f" peer_bytes_per_s={self.bytes_per_s:.0f}"
            f" peer_frames_per_s={self.frames_per_s:.2f}"
            f" table_reads_per_s={self.reads_per_s:.3f}"
            f" table_writes_per_s={self.writes_per_s:.3f}"
        )


async def measure_control(
    scenario: Scenario, *, instances: int, targets: int, seconds: float
) -> ControlFigures:
    """Let a deployment stand idle and measure it.

    :param scenario: a checked scenario; only its sizes are replaced.
    :param instances: instances to start.
    :param targets: targets to start.
    :param seconds: time measured, in seconds.
    """
    deployment: Deployment = replace(
        scenario.deployment, instances=instances, runners=targets
    )
    scenario = replace(scenario, deployment=deployment)
    with tempfile.TemporaryDirectory(prefix="cassiaturn-") as directory:
        layout = plan_layout(scenario, Path(directory))
        write_settings(scenario, layout)
        site = Site(layout=layout, program=THIS_PROGRAM)
        try:
            await site.start()
            await asyncio.sleep(SETTLING_S)
            before = await _look(site)
            await asyncio.sleep(seconds)
            after = await _look(site)
        finally:
            await site.stop()
    return _to_figures(before, after, targets)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Look:
    at: float
    cpu_seconds: Sequence[float]
    resident_mib: Sequence[float]
    peers: Mapping[str, float]
    reads: int
    writes: int


async def _look(site: Site) -> _Look:
    http = AsyncHTTPClient(force_instance=True)
    pids = [child.pid for child in site.instances]
    peers = {"frames": 0.0, "bytes": 0.0}
    for place in site.layout.instances:
        response = await http.fetch(f"http://{place.http}/metrics")
        for line in response.body.decode().splitlines():
            sample = _SAMPLE.match(line)
            if sample is not None:
                peers[sample.group(1)] += float(sample.group(3))
    platform = f"http://{site.layout.platform}/counters"
    counters = json.loads((await http.fetch(platform)).body)
    http.close()
    return _Look(
        at=time.monotonic(),
        cpu_seconds=[cpu_seconds_of(pid) for pid in pids],
        resident_mib=[resident_mib_of(pid) for pid in pids],
        peers=peers,
        reads=counters["reads"],
        writes=counters["writes"],
    )


def _to_figures(before: _Look, after: _Look, targets: int) -> ControlFigures:
    seconds = after.at - before.at
    instances = len(after.cpu_seconds)
    cpu = sum(after.cpu_seconds) - sum(before.cpu_seconds)
    each = instances * seconds
    return ControlFigures(
        instances=instances,
        targets=targets,
        cpu_share=cpu / each,
        resident_mib=statistics.mean(after.resident_mib),
        bytes_per_s=(after.peers["bytes"] - before.peers["bytes"]) / each,
        frames_per_s=(after.peers["frames"] - before.peers["frames"]) / each,
        reads_per_s=(after.reads - before.reads) / each,
        writes_per_s=(after.writes - before.writes) / each,
    )
