"""The command that explains what became of jobs, from the logs alone."""

import sys
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from cassiaturn.cli._exit import ExitCode
from cassiaturn.cli._output import JsonOption, fail, print_json, print_table

if TYPE_CHECKING:
    from cassiaturn.explain import Line, Record

STANDARD_INPUT = "-"

AROUND_S = 0.5
"""How long before and after a job events of its targets and leaders are shown with it,
in seconds: a silent leader is noticed in about this time."""

FilesArgument = Annotated[
    list[Path], typer.Argument(help="Logs of processes; - for standard input.")
]


def explain(
    files: FilesArgument,
    job_id: Annotated[
        str, typer.Option("--id", help="Tell the story of one job instead.")
    ] = "",
    width_s: Annotated[
        float, typer.Option("--every", min=0.1, help="Seconds of a row of the table.")
    ] = 2.0,
    as_json: JsonOption = False,
) -> None:
    """Show for which causes jobs were not served in time, and when.

    Reads the key=value lines of any number of processes. What a collector put before a
    line is passed over; its last word is taken for the name of the process.

    Exit codes: 0 shown, 2 a file cannot be read or holds no event, 9 no such job.
    """
    record = _read(files)
    if job_id:
        _print_story(record, job_id)
    elif as_json:
        print_json(_document(record, width_s))
    else:
        _print_tables(record, width_s)


def _read(files: list[Path]) -> "Record":
    from cassiaturn.explain import read_lines, read_record

    lines: list[Line] = []
    for file in files:
        if str(file) == STANDARD_INPUT:
            lines.extend(read_lines(sys.stdin))
            continue
        try:
            with file.open(encoding="utf-8", errors="replace") as texts:
                lines.extend(read_lines(texts, file.stem))
        except OSError as error:
            fail(ExitCode.USAGE, f"{file}: {error.strerror}")
    if not lines:
        fail(ExitCode.USAGE, "no line holds an event; are these logs of cassiaturn?")
    return read_record(lines)


def _print_tables(record: "Record", width_s: float) -> None:
    from cassiaturn.explain import (
        CAUSES,
        by_cause,
        by_second,
        by_size,
        process_starts,
    )

    meanings = {cause.name: cause.meaning for cause in CAUSES}
    print_table(
        "Jobs by cause",
        ["Cause", "Jobs", "Late", "Waiting", "Share", "Work, s", "First id", "Meaning"],
        [
            [
                row.cause,
                row.jobs,
                row.late,
                row.waiting,
                f"{row.share:.4f}",
                f"{row.work_s:.1f}",
                row.example,
                meanings.get(row.cause, ""),
            ]
            for row in by_cause(record)
        ],
    )
    print_table(
        "\nJobs by the second in which they arrived",
        ["From, s", "Jobs", "In time", "Others"],
        [
            [
                f"{row.from_s:.1f}",
                row.jobs,
                row.in_time,
                _counts(row.jobs_by_cause),
            ]
            for row in by_second(record, width_s)
        ],
    )
    print_table(
        "\nJobs that need much of their callers' time, by work",
        ["Route", "Size", "Jobs", "Served", "Possible", "Possible, not served"],
        [
            [
                size.route,
                size.size,
                size.jobs,
                size.served,
                size.possible,
                _counts(size.missed_by_cause),
            ]
            for size in by_size(record)
        ],
    )
    print_table(
        "\nStarts of processes",
        ["Process", "At, s", "Serving after, ms"],
        [
            [
                start.process,
                f"{start.at_s:.2f}",
                "never" if start.serving_ms is None else f"{start.serving_ms:.0f}",
            ]
            for start in process_starts(record)
        ],
    )


def _counts(jobs_by_cause: Mapping[str, int]) -> str:
    """Return counts as text, the largest first."""
    largest = sorted(jobs_by_cause.items(), key=lambda pair: -pair[1])
    return ", ".join(f"{cause} {jobs}" for cause, jobs in largest)


def _document(record: "Record", width_s: float) -> object:
    from dataclasses import asdict

    from cassiaturn.explain import by_cause, by_second, by_size, process_starts

    return {
        "causes": [asdict(row) for row in by_cause(record)],
        "seconds": [asdict(row) for row in by_second(record, width_s)],
        "sizes": [asdict(row) for row in by_size(record)],
        "starts": [asdict(row) for row in process_starts(record)],
    }


def _print_story(record: "Record", job_id: str) -> None:
    from cassiaturn.explain import IN_TIME, cause_of

    story = record.stories_by_id.get(job_id)
    if story is None:
        fail(ExitCode.REFUSED, f"no line tells of a job {job_id}")
    cause = cause_of(story, record)
    waited = "" if story.age_ms is None else f" after {story.age_ms:.0f} ms"
    due = "" if story.due_ms is None else f", due after {story.due_ms:.0f}"
    served = "in time" if cause == IN_TIME else f"not in time: {cause}"
    typer.echo(f"{job_id}: {story.verdict} {story.reason}{waited}{due}; {served}")
    shown = _around(record, story.lines)
    for line in shown:
        mark = "*" if line.fields.get("id") == job_id else " "
        typer.echo(f"{mark} {line.process}  {line.text}")


def _around(record: "Record", own: "list[Line]") -> "list[Line]":
    """Return a job's lines, with those of its targets and of leaders around it."""
    targets = {
        word.rpartition("@")[2]
        for line in own
        for word in line.fields.get("tasks", "").split(",")
        if "@" in word
    }
    targets |= {line.fields["target"] for line in own if "target" in line.fields}
    from_s, until_s = own[0].at_s - AROUND_S, own[-1].at_s + AROUND_S
    return [
        line
        for line in record.lines
        if line in own or (from_s <= line.at_s <= until_s and _concerns(line, targets))
    ]


def _concerns(line: "Line", targets: set[str]) -> bool:
    if "id" in line.fields:
        return False
    of_target = line.fields.get("target") in targets
    return of_target or line.event.startswith(("leader_", "process_", "member_gone"))
