import os
from collections.abc import Iterator

import pytest

from cassiaturn.observability import (
    BoundedOutput,
    Event,
    FleetMetrics,
    configure_logging,
    log_event,
)
from cassiaturn.workload import Verdict


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_lines_over_the_bound_are_dropped_and_counted(pipe: tuple[int, int]) -> None:
    """Every request logs while thousands come at once.

    The lines past the bound must cost nothing, and a later one must tell how many
    are missing.
    """
    clock = Clock()
    output = BoundedOutput(descriptor=pipe[1], lines_per_s=10.0, burst=3.0, clock=clock)
    for index in range(8):
        output.write(f"event=n{index}\n")
    assert output.dropped == 5
    clock.now = 1.0
    output.write("event=later\n")
    lines = os.read(pipe[0], 65_536).decode().splitlines()
    assert lines == [
        "event=n0",
        "event=n1",
        "event=n2",
        "level=warning event=lines_dropped count=5 ordinary=0",
        "event=later",
    ]


def test_lines_of_jobs_that_fail_outlast_those_of_jobs_that_end_well(
    pipe: tuple[int, int],
) -> None:
    """A leader logs twice the bound when an outage ends, most of it jobs that end well.

    Their callers ask nothing; those of the jobs that failed do, and need the line with
    the reason. Dropped alike, half of the reasons were missing.
    """
    clock = Clock()
    output = BoundedOutput(
        descriptor=pipe[1], lines_per_s=100.0, burst=50.0, clock=clock
    )
    for index in range(400):
        clock.now = index / 200
        output.write(f"level=info event=job_queued id={index}\n")
        output.write(f"level=info event=job_ended id={index} verdict=completed r\n")
        if index % 10 == 0:
            output.write(f"level=info event=job_ended id={index} verdict=abandoned r\n")
    lines = os.read(pipe[0], 65_536).decode().splitlines()
    assert sum("verdict=abandoned" in line for line in lines) == 40
    assert sum("event=job_queued" in line for line in lines) < 200
    assert any("ordinary=" in line and "ordinary=0" not in line for line in lines)


def test_notices_of_dropped_lines_do_not_crowd_out_others(
    pipe: tuple[int, int],
) -> None:
    """A leader logs 1,000 lines a second for 5 s, four times what it may write.

    A notice went out before nearly each line that was written: whoever read the log
    of a bad second found notices in it, and a reader of the pipe twice the bound.
    """
    clock = Clock()
    output = BoundedOutput(
        descriptor=pipe[1], lines_per_s=100.0, burst=50.0, clock=clock
    )
    for index in range(5_000):
        clock.now = index / 1_000
        output.write(f"level=info event=target_silent target=t{index}\n")
    clock.now = 6.0
    output.write("level=info event=later\n")
    lines = os.read(pipe[0], 65_536).decode().splitlines()
    notices = [line for line in lines if "event=lines_dropped" in line]
    assert len(notices) <= 6
    told = sum(int(line.split("count=")[1].split()[0]) for line in notices)
    assert told == output.dropped


def test_a_reader_that_stands_still_blocks_nobody(pipe: tuple[int, int]) -> None:
    """The pipe behind standard output is full and nobody reads it.

    A write that waits would stop the event loop, and with it leases and heartbeats.
    """
    output = BoundedOutput(descriptor=pipe[1], lines_per_s=1e9, burst=1e9)
    line = "x" * 1_000 + "\n"
    for _ in range(200):
        output.write(line)
    assert output.dropped > 100


def test_a_closed_reader_raises_nothing() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    output = BoundedOutput(descriptor=writer)
    output.write("event=a\n")
    assert output.dropped == 1
    os.close(writer)


def test_events_go_through_it(pipe: tuple[int, int]) -> None:
    log = configure_logging(stream=BoundedOutput(descriptor=pipe[1]))
    log_event(Event.JOB_REFUSED, id="5c0e", reason="backlog")
    log.close()
    text = os.read(pipe[0], 65_536).decode()
    assert text.endswith("level=info event=job_refused id=5c0e reason=backlog\n")


def test_lines_over_the_bound_are_not_formatted(pipe: tuple[int, int]) -> None:
    """A leader drops half of its lines when it is busiest, and formats all of them.

    What a line contains is read only if it is written; a job that fails still gets
    its line, and the notice counts what is missing.
    """

    class Unread:
        reads = 0

        def __str__(self) -> str:
            Unread.reads += 1
            return "x"

    clock = Clock()
    output = BoundedOutput(
        descriptor=pipe[1], lines_per_s=10.0, burst=10.0, clock=clock
    )
    log = configure_logging(stream=output)
    for _ in range(20):
        log_event(Event.JOB_QUEUED, id=Unread())
        log_event(Event.JOB_ENDED, id=Unread(), verdict=Verdict.COMPLETED, reason="r")
    assert (Unread.reads, output.dropped) == (6, 34)
    log_event(Event.JOB_ENDED, id="5c0e", verdict=Verdict.FAILED, reason="task_failed")
    log.close()
    lines = os.read(pipe[0], 65_536).decode().splitlines()
    assert lines[-2] == "level=warning event=lines_dropped count=34 ordinary=34"
    assert "verdict=failed" in lines[-1]


def test_metrics_tell_routes_apart() -> None:
    metrics = FleetMetrics(member_name="front-1", failure_domain="a")
    metrics.answered("quick", 0, Verdict.COMPLETED, 0.08)
    metrics.answered("slow", 2, Verdict.REFUSED, 0.001)
    metrics.started("quick", 0, 0.004)
    metrics.observe_gauge("cassiaturn.open_jobs", "Open.", lambda: 3.0)
    metrics.observe_counts("cassiaturn.leader", "Done.", lambda: {"starts": 7.0})
    text = metrics.exposition().decode()
    assert 'cassiaturn_leader_total{kind="starts"} 7.0' in text
    assert "cassiaturn_open_jobs 3.0" in text
    answered = [
        line for line in text.splitlines() if "response_time_seconds_count" in line
    ]
    assert len(answered) == 2
    assert any(
        'route="slow"' in line and 'verdict="refused"' in line for line in answered
    )
