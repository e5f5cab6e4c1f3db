import json
from importlib.resources import files
from pathlib import Path

import pytest
from google.protobuf.descriptor_pb2 import FileDescriptorSet
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from cassiaturn.cli import ExitCode
from cassiaturn.cli._messages import load_method
from cassiaturn.cli.tests.conftest import TICKET, Run, Served
from cassiaturn.entities import Answer, Outcome, Ran, Reason
from cassiaturn_examples.kwabena.props_pb2 import AvailabilityReply, AvailabilityRequest

SCHEMA = str(files("cassiaturn_examples") / "kwabena" / "props.binpb")
METHOD = "kwabena.v1.Props/CheckAvailability"
TASKS = '{"prop_id": "silk"}\n\n{"prop_id": "dove-pan", "branch": "tema"}\n'


def answer(outcome: Outcome, **changes: object) -> Answer:
    return Answer(submission_id=TICKET, outcome=outcome, **changes)  # type: ignore[arg-type]


async def submit(run: Run, served: Served, *more: object, stdin: str = TASKS):  # type: ignore[no-untyped-def]
    return await run(
        "submit", METHOD, "-", "--to", served.address, "--tenant", "counters",
        "--schema", SCHEMA, *more, stdin=stdin,
    )  # fmt: skip


async def test_a_job_goes_from_json_to_json(run: Run, served: Served) -> None:
    replies = [
        AvailabilityReply(prop_id=p, in_stock=n) for p, n in (("a", 3), ("b", 0))
    ]
    served.instance.answer = answer(
        Outcome.COMPLETE,
        results=[reply.SerializeToString() for reply in replies],
        tasks_done=2,
        tasks_total=2,
    )
    result = await submit(run, served)
    assert result.exit_code == ExitCode.OK
    assert [json.loads(line) for line in result.stdout.splitlines()] == [
        {"prop_id": "a", "in_stock": 3},
        {"prop_id": "b"},
    ]
    assert "complete; 2 of 2 tasks" in result.stderr
    (request,) = served.instance.submitted
    assert request.submission_id == TICKET
    assert request.deadline_ms == 2000
    assert [AvailabilityRequest.FromString(task).prop_id for task in request.tasks] == [
        "silk",
        "dove-pan",
    ]


async def test_an_id_and_a_deadline_of_ones_own(run: Run, served: Served) -> None:
    served.instance.answer = answer(Outcome.COMPLETE)
    await submit(run, served, "--id", "order-7", "--deadline-ms", 700)
    (request,) = served.instance.submitted
    assert request.submission_id == "order-7"
    assert request.deadline_ms == 700


@pytest.mark.parametrize(
    ("told", "code", "texts"),
    [
        (
            answer(Outcome.FAILED, ran=Ran.SOME, reason=Reason.TASK_FAILED),
            ExitCode.FAILED,
            ["failed", "ran: some", "reason: task_failed"],
        ),
        (
            answer(Outcome.NOT_RUN, reason=Reason.OVERLOAD, retry_after_ms=250),
            ExitCode.NOT_RUN,
            ["not_run", "come back in 250 ms with a new id"],
        ),
        (
            answer(Outcome.COMPLETE, result_object="result/1"),
            ExitCode.OK,
            ["results in the object store: result/1"],
        ),
    ],
)
async def test_every_outcome_has_its_code_and_text(
    run: Run, served: Served, told: Answer, code: ExitCode, texts: list[str]
) -> None:
    served.instance.answer = told
    result = await submit(run, served)
    assert result.exit_code == code
    for text in texts:
        assert text in result.stderr
    as_json = await submit(run, served, "--json")
    assert as_json.exit_code == code
    document = json.loads(as_json.stdout)
    assert document["outcome"] == told.outcome.name.lower()
    assert document["reason"] == told.reason.name.lower()


@pytest.mark.parametrize(
    ("told", "code"),
    [
        (answer(Outcome.COMPLETE), ExitCode.OK),
        (answer(Outcome.FAILED), ExitCode.FAILED),
        (answer(Outcome.NOT_RUN), ExitCode.NOT_RUN),
        (answer(Outcome.UNKNOWN, retry_after_ms=200), ExitCode.UNKNOWN),
        (answer(Outcome.PENDING), ExitCode.PENDING),
    ],
)
@pytest.mark.parametrize("command", ["collect", "watch"])
async def test_an_earlier_answer_has_the_same_codes(
    run: Run, served: Served, command: str, told: Answer, code: ExitCode
) -> None:
    served.instance.answer = told
    result = await run(command, TICKET, "--to", served.address, "--tenant", "counters")
    assert result.exit_code == code
    if told.outcome is Outcome.UNKNOWN:
        assert "come back in 200 ms with the same id" in result.stderr
    if command == "watch":
        assert "1 of 4 tasks" in result.stderr


async def test_replies_are_readable_with_their_schema(run: Run, served: Served) -> None:
    reply = AvailabilityReply(prop_id="a", in_stock=3).SerializeToString()
    served.instance.answer = answer(Outcome.COMPLETE, results=[reply])
    common = ["collect", TICKET, "--to", served.address, "--tenant", "counters"]
    plain = await run(*common)
    assert json.loads(plain.stdout) == reply.hex()
    shown = await run(*common, "--method", METHOD, "--schema", SCHEMA)
    assert json.loads(shown.stdout) == {"prop_id": "a", "in_stock": 3}


@pytest.mark.parametrize(
    ("cancelled", "outcome", "code"),
    [
        (True, Outcome.NOT_RUN, ExitCode.OK),
        (False, Outcome.COMPLETE, ExitCode.REFUSED),
        (False, Outcome.UNKNOWN, ExitCode.UNKNOWN),
    ],
)
async def test_a_cancellation_says_whether_it_was_in_time(
    run: Run, served: Served, cancelled: bool, outcome: Outcome, code: ExitCode
) -> None:
    served.instance.cancelled = cancelled
    served.instance.answer = answer(outcome)
    result = await run("cancel", TICKET, "--to", served.address, "--tenant", "counters")
    assert result.exit_code == code


@pytest.mark.parametrize(
    ("method", "tasks", "text"),
    [
        ("kwabena.v1.Props/Nothing", TASKS, "the schema declares: kwabena.v1.Props/Ch"),
        (METHOD, "", "at least one JSON line"),
        (METHOD, '{"prop_id": "a"}\n{"prop": 1}\n', "line 2: "),
        (METHOD, "[]", "line 1: "),
        (METHOD, '{"prop_id": 7}', "line 1: "),
        (METHOD, "[" * 100_000, "line 1: no JSON"),
    ],
)
async def test_a_wrong_request_is_named_and_not_sent(
    run: Run, served: Served, method: str, tasks: str, text: str
) -> None:
    result = await run(
        "submit", method, "-", "--to", served.address, "--tenant", "counters",
        "--schema", SCHEMA, stdin=tasks,
    )  # fmt: skip
    assert result.exit_code == ExitCode.USAGE
    assert text in result.stderr
    assert not served.instance.submitted


async def test_a_wrong_schema_file_is_named(run: Run, tmp_path: Path) -> None:
    schema = tmp_path / "wrong.binpb"
    schema.write_bytes(b"\xff\xff")
    result = await run(
        "submit", METHOD, "-", "--to", "127.0.0.1:1", "--tenant", "counters",
        "--schema", schema, stdin=TASKS,
    )  # fmt: skip
    assert result.exit_code == ExitCode.USAGE
    assert str(schema) in result.stderr


def test_a_schema_without_its_imports_is_named(tmp_path: Path) -> None:
    files = FileDescriptorSet.FromString(Path(SCHEMA).read_bytes())
    for file in list(files.file):
        if file.package == "cassiaturn.v1":
            files.file.remove(file)
    schema = tmp_path / "alone.binpb"
    schema.write_bytes(files.SerializeToString())
    error = load_method([schema], METHOD).failure()
    assert error.source == str(schema)
    assert "--include_imports" in error.problem


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    line=st.one_of(
        st.text(max_size=60),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
            max_leaves=5,
        ).map(json.dumps),
        st.dictionaries(
            st.sampled_from(["prop_id", "branch"]), st.text() | st.integers()
        ).map(json.dumps),
    )
)
def test_any_line_is_a_request_or_an_error(line: str) -> None:
    encoded = load_method([Path(SCHEMA)], METHOD).unwrap().encode_lines([line])
    if is_successful(encoded):
        (payload,) = encoded.unwrap()
        AvailabilityRequest.FromString(payload)
    else:
        assert encoded.failure().problem
