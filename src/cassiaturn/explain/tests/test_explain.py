"""Causes that are read from the lines of the log."""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from cassiaturn.cli._app import app
from cassiaturn.explain import (
    CAUSES,
    IN_TIME,
    Record,
    by_cause,
    by_second,
    by_size,
    cause_of,
    parse_line,
    process_starts,
    read_lines,
    read_record,
)
from cassiaturn.observability import Event, format_event

JOB = "5c0e7a21d94b36f8"


def _line(at_s: float, event: Event, process: str = "m-1", /, **fields: object) -> str:
    time = f"2026-03-14T00:16:{at_s:09.6f}Z"
    return f"{process} time={time} {format_event(event, **fields)}"


def _queued(at_s: float = 1.0, **fields: object) -> str:
    defaults: dict[str, object] = {"tasks": 2, "expected_ms": 200, "due_ms": 380}
    return _line(at_s, Event.JOB_QUEUED, id=JOB, **{**defaults, **fields})


def _answered(verdict: str, reason: str, age_ms: int = 300, **fields: object) -> str:
    values = {"verdict": verdict, "reason": reason, "age_ms": age_ms, **fields}
    return _line(1.0 + age_ms / 1000, Event.JOB_ANSWERED, id=JOB, **values)


def _record(*texts: str) -> Record:
    return read_record(read_lines(texts))


@pytest.mark.parametrize("name", ['a b"c=\\', "", "plain", "zeile\nzwei", "ü"])
def test_any_value_is_read_as_it_was_written(name: str) -> None:
    line = parse_line(_line(1.5, Event.TARGET_ADDED, target=name, leaving=False))
    assert line is not None
    assert line.fields["target"] == name
    assert (line.event, line.process) == ("target_added", "m-1")


@pytest.mark.parametrize(
    "text",
    ["", "Traceback (most recent call last):", "time=yesterday event=x", "time="],
)
def test_other_text_is_passed_over(text: str) -> None:
    assert parse_line(text) is None


def _with(event: Event, **fields: object) -> list[str]:
    late = _answered("abandoned", "limit_passed", 1500)
    return [_queued(), _line(1.2, event, id=JOB, **fields), late]


@pytest.mark.parametrize(
    ("cause", "texts"),
    [
        (IN_TIME, [_queued(), _answered("completed", "all_done")]),
        ("caller_left", [_queued(), _line(1.2, Event.JOB_LEFT, id=JOB, age_ms=200)]),
        ("process_ended", [_queued()]),
        ("not_offered", [_line(1, Event.JOB_REFUSED, id=JOB, reason="x_not_served")]),
        ("no_leader", [_answered("refused", "no_leader")]),
        ("no_leader", [_queued(), _answered("abandoned", "leader_silent")]),
        ("drained", [_answered("refused", "drained")]),
        ("no_target", [_answered("refused", "no_target")]),
        ("no_room", [_answered("refused", "backlog")]),
        ("held", [_queued(inherited=True), _answered("abandoned", "held_too_long")]),
        ("target_lost", _with(Event.RUN_LOST, reason="lease_over", target="i-1")),
        ("start_unanswered", _with(Event.START_REFUSED, answer="unknown")),
        ("start_refused", _with(Event.START_REFUSED, answer="no_room")),
        ("run_stalled", _with(Event.RUN_STALLED, target="i-1")),
        ("task_failed", _with(Event.TASK_FAILED, target="i-1")),
        ("run_ended", _with(Event.RUN_ENDED, end="stopped")),
        ("leader_change", _with(Event.JOB_QUEUED, inherited=True)),
        ("leader_change", [*_with(Event.JOB_ENDED), _line(1.3, Event.LEADER_ELECTED)]),
        ("queue", [*_with(Event.JOB_STARTED, left=0, wait_ms=300)]),
        ("long_task", [_queued(), _answered("abandoned", "cannot_finish", 900)]),
        ("slow_run", [_queued(), _answered("completed", "all_done", 900)]),
    ],
)
def test_each_cause(cause: str, texts: list[str]) -> None:
    record = _record(*texts)
    assert cause_of(record.stories_by_id[JOB], record) == cause


def test_every_cause_is_tried_in_a_case_above() -> None:
    marks = test_each_cause.pytestmark  # type: ignore[attr-defined]
    tried = {case[0] for case in marks[0].args[1]}
    assert tried == {cause.name for cause in CAUSES} | {IN_TIME}


def test_jobs_are_counted_by_cause_and_by_second() -> None:
    other = JOB[::-1]
    served = [text.replace(JOB, other) for text in (_queued(4.0), _queued(4.1))]
    record = _record(*served, _queued(), _answered("abandoned", "cannot_finish", 900))
    rows = by_cause(record)
    assert [(row.cause, row.jobs, row.work_s) for row in rows] == [
        ("long_task", 1, 0.4),
        ("process_ended", 1, 0.4),
    ]
    seconds = by_second(record, 2.0)
    assert [(row.from_s, row.jobs, row.in_time) for row in seconds] == [
        (0.0, 1, 0),
        (2.0, 1, 0),
    ]


@pytest.mark.parametrize(
    ("verdict", "told_ms", "waiting"),
    [
        ("abandoned", 4000, 1),
        ("refused", 4000, 1),
        ("abandoned", 1520, 0),
        ("abandoned", None, 0),
        ("completed", 4000, 0),
    ],
)
def test_jobs_ended_while_their_callers_still_waited_are_counted(
    verdict: str, told_ms: int | None, waiting: int
) -> None:
    """Jobs were ended by another limit than their callers', and nothing told."""
    answer = _answered(verdict, "limit_passed", 1500, limit_ms=1500, told_ms=told_ms)
    assert [row.waiting for row in by_cause(_record(_queued(), answer))] == [waiting]


def test_starts_of_processes_are_timed() -> None:
    record = _record(
        _line(1.0, Event.PROCESS_STARTING, "m-1"),
        _line(1.1, Event.LISTENING, "m-2"),
        _line(1.4, Event.LISTENING, "m-1"),
        _line(2.0, Event.PROCESS_STARTING, "m-2"),
    )
    found = [(start.process, start.serving_ms) for start in process_starts(record)]
    assert found == [("m-1", pytest.approx(400)), ("m-2", None)]


@pytest.fixture
def log(tmp_path: Path) -> Path:
    path = tmp_path / "m-1.log"
    texts = [
        _queued(),
        _line(1.1, Event.JOB_STARTED, id=JOB, tasks="0@i-7,1@i-8", left=0, wait_ms=9),
        _line(1.2, Event.TARGET_SILENT, target="i-7", runs=1),
        _line(1.2, Event.TARGET_SILENT, target="i-9", runs=0),
        _answered("abandoned", "limit_passed", 1500),
    ]
    path.write_text("\n".join([*texts, "no line of ours"]))
    return path


def test_the_command_prints_tables(log: Path) -> None:
    result = CliRunner().invoke(app, ["explain", str(log)])
    assert result.exit_code == 0
    assert "long_task" in result.output
    document = json.loads(
        CliRunner().invoke(app, ["explain", str(log), "--json"]).output
    )
    assert document["causes"][0]["example"] == JOB


def test_the_story_of_a_job_holds_what_befell_its_targets(log: Path) -> None:
    result = CliRunner().invoke(app, ["explain", "--id", JOB, str(log)])
    assert result.exit_code == 0
    assert "target=i-7" in result.output
    assert "target=i-9" not in result.output


@pytest.mark.parametrize(
    ("arguments", "code"), [(["--id", "none"], 9), (["missing.log"], 2)]
)
def test_what_is_not_there_is_said(log: Path, arguments: list[str], code: int) -> None:
    files = [] if "missing.log" in arguments else [str(log)]
    result = CliRunner().invoke(app, ["explain", *arguments, *files])
    assert result.exit_code == code


def test_a_file_without_events_is_said(tmp_path: Path) -> None:
    path = tmp_path / "empty.log"
    path.write_text("nothing\n")
    assert CliRunner().invoke(app, ["explain", str(path)]).exit_code == 2


def _timed(number: int, *, fastest_ms: int, served: bool) -> list[str]:
    """Return the lines of a job of a certain work."""
    verdict = ("completed", "all_done") if served else ("abandoned", "limit_passed")
    job_id = f"job-{number}"
    timing = _line(
        3.0,
        Event.JOB_TIMED,
        id=job_id,
        route="long",
        served=served,
        work_cpu_s=float(number),
        limit_ms=1500,
        fastest_ms=fastest_ms,
    )
    answer = {"verdict": verdict[0], "reason": verdict[1], "age_ms": 1500}
    return [timing, _line(3.1, Event.JOB_ANSWERED, id=job_id, **answer)]


def test_the_largest_jobs_that_nobody_could_serve_are_told_apart() -> None:
    """The share of the largest tenth that is served said nothing of whose fault it is.

    Half of them have a task that is longer than their callers wait on any target.
    """
    texts: list[str] = []
    for number in range(100):
        is_too_long = number >= 95
        is_lost = number == 90
        texts += _timed(
            number,
            fastest_ms=1600 if is_too_long else 900,
            served=not (is_too_long or is_lost),
        )
    texts.append(_line(2.0, Event.RUN_LOST, id="job-90", target="t", reason="x"))
    rows = {row.size: row for row in by_size(_record(*texts))}
    largest = rows["largest_tenth"]
    assert (largest.jobs, largest.served, largest.possible) == (10, 4, 5)
    assert largest.missed_by_cause == {"target_lost": 1}
    assert (rows["rest"].jobs, rows["rest"].served) == (70, 70)
    assert (rows["next_fifth"].jobs, rows["next_fifth"].possible) == (20, 20)
