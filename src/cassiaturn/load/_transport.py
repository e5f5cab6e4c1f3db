"""Measures one holder's stream to one runner, a process each."""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

import yaml

from cassiaturn.entities import Address
from cassiaturn.load._histogram import US_PER_S, Histogram
from cassiaturn.load._ports import LOOPBACK, free_ports
from cassiaturn.load._process import ChildProcess
from cassiaturn.load._site import stand_in_command
from cassiaturn.targets import RunnerSession, SessionCallbacks
from cassiaturn.v1.runner_pb2 import FromRunner, TaskRef, Welcome

TARGET_ID = "runner-0"
METHOD = "kwabena.v1.Props/CheckAvailability"
PAYLOAD = b"x" * 100
LEASE_MS = 10_000
START_WITHIN_MS = 10_000
CONNECT_TIMEOUT_S = 10.0
WARM_UP_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TransportFigures:
    """What one stream carried."""

    in_flight: int
    """Starts without a result at any moment."""

    starts_per_s: float
    """Starts that got their result, a second."""

    starts_per_frame: float
    """Starts in a frame on average."""

    holder_us_per_start: float
    """Processor time of the holder's process for each start."""

    p50_us: float
    """Median time from a start to its result, in microseconds."""

    p99_us: float
    """99th percentile of the same."""

    refusals: int
    """Starts that the runner refused."""

    def to_line(self) -> str:
        """Return one line of key=value pairs."""
        return (
            f"event=transport_done in_flight={self.in_flight}"
            f" starts_per_s={self.starts_per_s:.0f}"
            f" starts_per_frame={self.starts_per_frame:.1f}"
            f" holder_us_per_start={self.holder_us_per_start:.1f}"
            f" p50_us={self.p50_us:.0f} p99_us={self.p99_us:.0f}"
            f" refusals={self.refusals}"
        )


async def measure_transport(
    directory: Path, *, in_flight: int, seconds: float
) -> TransportFigures:
    """Start a runner whose tasks take no time, and keep it busy.

    :param directory: an empty directory for settings and log.
    :param in_flight: starts without a result at any moment.
    :param seconds: how long to measure.
    """
    port, control_port = free_ports(2)
    settings = directory / "runner.yaml"
    document = {
        "control_port": control_port,
        "run_time": {"median_ms": 0.0},
        "runners": [{"target_id": TARGET_ID, "port": port, "slots": in_flight}],
    }
    settings.write_text(yaml.safe_dump(document))
    runner = ChildProcess(
        name="runner",
        arguments=[*stand_in_command("runners"), "--settings", str(settings)],
        log=directory / "runner.log",
    )
    await runner.start()
    holder = _Holder(address=Address(host=LOOPBACK, port=port), in_flight=in_flight)
    try:
        return await holder.run(seconds)
    finally:
        await holder.session.close()
        await runner.stop()


class _Holder:
    """Replaces each result by a new start."""

    def __init__(self, *, address: Address, in_flight: int) -> None:
        self.session = RunnerSession(
            target_id=TARGET_ID,
            address=address,
            holder="holder",
            callbacks=SessionCallbacks(
                on_welcome=self._on_welcome,
                on_frame=self._on_frame,
                on_lost=lambda target_id: None,
            ),
        )
        self._in_flight = in_flight
        self._welcomed = asyncio.Event()
        self._sent_at_by_index: dict[int, float] = {}
        self._next_index = 0
        self._results = 0
        self._refusals = 0
        self._times = Histogram(scale=US_PER_S)

    async def run(self, seconds: float) -> TransportFigures:
        self.session.start()
        await asyncio.wait_for(self._welcomed.wait(), CONNECT_TIMEOUT_S)
        await asyncio.sleep(WARM_UP_S)
        self._times = Histogram(scale=US_PER_S)
        results = self._results
        frames = self.session.outbox.frames_sent
        cpu_s = time.process_time()
        begun_at = time.perf_counter()
        await asyncio.sleep(seconds)
        passed_s = time.perf_counter() - begun_at
        cpu_s = time.process_time() - cpu_s
        results = self._results - results
        frames = self.session.outbox.frames_sent - frames
        return TransportFigures(
            in_flight=self._in_flight,
            starts_per_s=results / passed_s,
            starts_per_frame=results / max(1, frames),
            holder_us_per_start=cpu_s / max(1, results) * US_PER_S,
            p50_us=self._times.percentile(50.0) * US_PER_S,
            p99_us=self._times.percentile(99.0) * US_PER_S,
            refusals=self._refusals,
        )

    def _on_welcome(self, target_id: str, welcome: Welcome) -> None:
        self._welcomed.set()
        for _ in range(self._in_flight):
            self._send_start()
        self.session.outbox.notify()

    def _on_frame(self, target_id: str, frame: FromRunner) -> None:
        now = time.perf_counter()
        for result in frame.results:
            self._results += 1
            self._times.record(now - self._sent_at_by_index.pop(result.ref.index))
            self.session.outbox.pending.acknowledged.append(result.ref)
            self._send_start()
        self._refusals += len(frame.refusals)
        if frame.results:
            self.session.outbox.notify()

    def _send_start(self) -> None:
        index = self._next_index
        self._next_index += 1
        self._sent_at_by_index[index] = time.perf_counter()
        start_by_ms = self.session.runner_clock(time.monotonic()) + START_WITHIN_MS
        self.session.outbox.pending.starts.add(
            ref=TaskRef(submission_id="transport", index=index, attempt=1),
            method=METHOD,
            payload=PAYLOAD,
            home="holder",
            start_by_ms=start_by_ms,
            lease_ms=LEASE_MS,
        )
