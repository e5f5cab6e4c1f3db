"""Commands for jobs: submit, watch, collect, cancel."""

import asyncio
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer
from returns.pipeline import is_successful

from cassiaturn.cli._callers import Connection, connect
from cassiaturn.cli._connection import AddressesOption
from cassiaturn.cli._exit import ExitCode
from cassiaturn.cli._output import JsonOption, fail, print_json

if TYPE_CHECKING:
    from cassiaturn.cli._messages import MethodMessages
    from cassiaturn.client import Client
    from cassiaturn.entities import Answer, Outcome

WATCH_AFTER_S = 0.5
"""A job that takes longer shows its progress, in seconds."""

MS_PER_S = 1_000

TenantOption = Annotated[
    str, typer.Option(envvar="CASSIATURN_TENANT", help="Tenant of the job.")
]
CallerOption = Annotated[
    str, typer.Option(envvar="CASSIATURN_CALLER", help="Caller within the tenant.")
]
SchemaOption = Annotated[
    list[Path], typer.Option("--schema", help="Schema file; repeat for several.")
]
ShownMethodOption = Annotated[
    str, typer.Option("--method", help="Method of the job, to print its replies.")
]
ShownSchemaOption = Annotated[
    list[Path] | None, typer.Option("--schema", help="Schema file of that method.")
]
IdArgument = Annotated[str, typer.Argument(help="Id of the submission.")]


def submit(
    method: Annotated[str, typer.Argument(help="package.Service/Method")],
    tasks: Annotated[
        typer.FileText, typer.Argument(help="JSON lines, one request a task; -: stdin.")
    ],
    to: AddressesOption,
    tenant: TenantOption,
    schema: SchemaOption,
    caller: CallerOption = "cli",
    submission_id: Annotated[
        str | None, typer.Option("--id", help="An id of your own; default: a ticket.")
    ] = None,
    deadline_ms: Annotated[
        int, typer.Option(min=0, help="0: the method's own deadline.")
    ] = 0,
    as_json: JsonOption = False,
) -> None:
    """Submit a job and wait for its answer; submit the same id again at will.

    Prints one JSON line a task. Exit codes: 0 complete, 2 wrong request, 3
    failed, 4 not run, 5 unknown.
    """
    messages = _load_messages(schema, method)
    payloads = messages.encode_lines(tasks)
    if not is_successful(payloads):
        fail(ExitCode.USAGE, payloads.failure())
    answer = asyncio.run(
        _submit(
            connect(to, tenant, caller),
            method,
            payloads.unwrap(),
            submission_id,
            (deadline_ms or messages.deadline_ms) / MS_PER_S,
        )
    )
    _finish(answer, as_json=as_json, messages=messages)


def watch(
    submission_id: IdArgument,
    to: AddressesOption,
    tenant: TenantOption,
    caller: CallerOption = "cli",
    method: ShownMethodOption = "",
    schema: ShownSchemaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show the progress of a job until its answer.

    Without its method and schema, replies are printed in hexadecimal.

    Exit codes: those of its answer; 6 no instance answered.
    """
    messages = _load_messages(schema or [], method) if method else None
    answer = asyncio.run(_watch(connect(to, tenant, caller), submission_id))
    if answer is None:
        fail(ExitCode.UNREACHABLE, "no instance told the answer")
    _finish(answer, as_json=as_json, messages=messages)


def collect(
    submission_id: IdArgument,
    to: AddressesOption,
    tenant: TenantOption,
    caller: CallerOption = "cli",
    method: ShownMethodOption = "",
    schema: ShownSchemaOption = None,
    as_json: JsonOption = False,
) -> None:
    """Print the answer of an earlier submission.

    Without its method and schema, replies are printed in hexadecimal.

    Exit codes: those of its answer; 7 it still runs.
    """
    messages = _load_messages(schema or [], method) if method else None
    answer = asyncio.run(_collect(connect(to, tenant, caller), submission_id))
    _finish(answer, as_json=as_json, messages=messages)


def cancel(
    submission_id: IdArgument,
    to: AddressesOption,
    tenant: TenantOption,
    caller: CallerOption = "cli",
    as_json: JsonOption = False,
) -> None:
    """Cancel a job; what has begun is stopped, what has not never begins.

    Exit codes: 0 cancelled, 5 unknown, 9 its answer was settled before.
    """
    connection = connect(to, tenant, caller)
    cancelled, answer = asyncio.run(_cancel(connection, submission_id))
    _print(answer, as_json=as_json)
    if not cancelled:
        settled = _code_of(answer.outcome)
        unknown = settled is ExitCode.UNKNOWN
        raise typer.Exit(ExitCode.UNKNOWN if unknown else ExitCode.REFUSED)


def _load_messages(schema: list[Path], method: str) -> "MethodMessages":
    from cassiaturn.cli._messages import load_method

    loaded = load_method(schema, method)
    if not is_successful(loaded):
        fail(ExitCode.USAGE, loaded.failure())
    return loaded.unwrap()


async def _submit(
    connection: Connection,
    method: str,
    payloads: list[bytes],
    submission_id: str | None,
    deadline_s: float,
) -> "Answer":
    async with connection.open() as client:
        # An id of its own lets the job's progress be watched while it runs.
        home = None if submission_id else await client.ticket()
        chosen = submission_id if home is None else home.submission_id
        progress = asyncio.create_task(_show_progress(client, chosen))
        try:
            return await client.submit(
                method,
                payloads,
                deadline_s=deadline_s,
                submission_id=chosen,
                address=None if home is None else home.address,
            )
        finally:
            progress.cancel()
            await asyncio.gather(progress, return_exceptions=True)


async def _show_progress(client: "Client", submission_id: str | None) -> None:
    if submission_id is None or not sys.stderr.isatty():
        return
    await asyncio.sleep(WATCH_AFTER_S)
    async for event in client.watch(submission_id):
        _print_progress(event.tasks_done, event.tasks_total)


async def _watch(connection: Connection, submission_id: str) -> "Answer | None":
    from cassiaturn.entities import Answer

    async with connection.open() as client:
        async for event in client.watch(submission_id):
            if event.HasField("answer"):
                return Answer.from_message(event.answer)
            _print_progress(event.tasks_done, event.tasks_total)
    return None


async def _collect(connection: Connection, submission_id: str) -> "Answer":
    async with connection.open() as client:
        return await client.collect(submission_id)


async def _cancel(connection: Connection, submission_id: str) -> "tuple[bool, Answer]":
    async with connection.open() as client:
        return await client.cancel(submission_id)


def _print_progress(done: int, total: int) -> None:
    print(f"{done} of {total} tasks", file=sys.stderr)


def _finish(
    answer: "Answer", *, as_json: bool, messages: "MethodMessages | None" = None
) -> None:
    _print(answer, as_json=as_json, messages=messages)
    raise typer.Exit(_code_of(answer.outcome))


def _print(
    answer: "Answer", *, as_json: bool, messages: "MethodMessages | None" = None
) -> None:
    results = [_readable(result, messages) for result in answer.results]
    if as_json:
        print_json(_to_document(answer, results))
        return
    for result in results:
        print_json(result)
    print(_summary(answer), file=sys.stderr)


def _readable(result: bytes, messages: "MethodMessages | None") -> Any:
    if messages is None:
        return result.hex()
    return json.loads(messages.decode_reply(result))


def _to_document(answer: "Answer", results: list[Any]) -> dict[str, Any]:
    return {
        "submission_id": answer.submission_id,
        "outcome": answer.outcome.name.lower(),
        "ran": answer.ran.name.lower(),
        "reason": answer.reason.name.lower(),
        "detail": answer.detail,
        "retry_after_ms": answer.retry_after_ms,
        "tasks_done": answer.tasks_done,
        "tasks_total": answer.tasks_total,
        "result_object": answer.result_object,
        "results": results,
    }


def _summary(answer: "Answer") -> str:
    from cassiaturn.entities import Outcome

    parts = [
        f"{answer.submission_id}: {answer.outcome.name.lower()}",
        f"{answer.tasks_done} of {answer.tasks_total} tasks",
    ]
    if answer.reason:
        parts.append(f"reason: {answer.reason.name.lower()}")
    if answer.ran and answer.outcome is not Outcome.COMPLETE:
        parts.append(f"ran: {answer.ran.name.lower()}")
    if answer.detail:
        parts.append(answer.detail)
    if answer.result_object:
        parts.append(f"results in the object store: {answer.result_object}")
    if answer.retry_after_ms:
        # What is known not to have run needs a new id; what is unknown must
        # keep its id, or it could run a second time.
        which = "a new" if answer.outcome is Outcome.NOT_RUN else "the same"
        parts.append(f"come back in {answer.retry_after_ms} ms with {which} id")
    return "; ".join(parts)


def _code_of(outcome: "Outcome") -> ExitCode:
    from cassiaturn.entities import Outcome

    codes_by_outcome = {
        Outcome.COMPLETE: ExitCode.OK,
        Outcome.FAILED: ExitCode.FAILED,
        Outcome.NOT_RUN: ExitCode.NOT_RUN,
        Outcome.UNKNOWN: ExitCode.UNKNOWN,
        Outcome.PENDING: ExitCode.PENDING,
    }
    return codes_by_outcome[outcome]
