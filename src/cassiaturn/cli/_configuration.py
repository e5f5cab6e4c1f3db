"""Commands that show and change the shared configuration."""

import asyncio
import getpass
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, NoReturn, TypeVar

import typer
from returns.pipeline import is_successful
from returns.result import Result

from cassiaturn.cli._exit import ExitCode
from cassiaturn.cli._output import JsonOption, fail, print_json, print_table

if TYPE_CHECKING:
    from cassiaturn.configuration import ConfigurationContent, ProposalError
    from cassiaturn.services import TableService

ValueT = TypeVar("ValueT")

DEFAULT_COUNT = 20

READ_TIMEOUT_S = 5.0

app = typer.Typer(
    help="Show and change what all instances share.", no_args_is_help=True
)

TableOption = Annotated[
    str,
    typer.Option(
        "--table", envvar="CASSIATURN_TABLE", help="URL of the table service."
    ),
]

AuthorOption = Annotated[
    str, typer.Option(help="Shown to whoever loses against it; default: the user.")
]

NO_CONFIGURATION = "the table service holds no configuration yet"


@app.command()
def show(
    table: TableOption,
    version: Annotated[int, typer.Option(help="Default: the one in force.")] = 0,
    as_json: JsonOption = False,
) -> None:
    """Print a version as the YAML document that an operator would write.

    Exit codes: 0 shown, 2 no such version, 6 no answer.
    """
    from cassiaturn.configuration import read_current, read_version, to_json, to_yaml

    if version == 0:
        version = _run(table, read_current).row.version
    if version == 0:
        fail(ExitCode.USAGE, NO_CONFIGURATION)
    shared = _run(table, lambda service: read_version(service, version))
    if as_json:
        typer.echo(to_json(shared))
        return
    typer.echo(f"# version {shared.version}, proposed by {shared.author}")
    typer.echo(to_yaml(shared.content), nl=False)


@app.command("list")
def list_(
    table: TableOption,
    count: Annotated[int, typer.Option(min=1, max=1000)] = DEFAULT_COUNT,
    as_json: JsonOption = False,
) -> None:
    """List the latest versions, the one in force last.

    Exit codes: 0 listed, 6 no answer.
    """
    from cassiaturn.configuration import list_versions, read_current

    latest = _run(table, read_current).row.version
    versions = _run(
        table, lambda service: list_versions(service, latest=latest, count=count)
    )
    if as_json:
        print_json(
            [
                {
                    "version": shared.version,
                    "author": shared.author,
                    "note": shared.content.note,
                }
                for shared in versions
            ]
        )
        return
    print_table(
        "Versions",
        ["Version", "Author", "Tenants", "Note"],
        [
            [
                shared.version,
                shared.author,
                len(shared.content.tenants),
                shared.content.note,
            ]
            for shared in versions
        ],
    )


@app.command()
def propose(
    file: Annotated[Path, typer.Argument(help="YAML file with the configuration.")],
    table: TableOption,
    base: Annotated[
        int, typer.Option(min=0, help="The version that you have seen; 0: none.")
    ],
    author: AuthorOption = "",
) -> None:
    """Put a configuration in force, if nobody changed it since the base.

    Exit codes: 0 in force, 2 the file is wrong, 5 no answer settled it, 6 no
    answer and nothing done, 8 another operator was faster.
    """
    from cassiaturn.configuration import load_content

    content = load_content(file)
    if not is_successful(content):
        fail(ExitCode.USAGE, content.failure())
    _propose(table, content.unwrap(), base, author)


@app.command()
def drain(
    table: TableOption,
    target_id: Annotated[str | None, typer.Argument(help="The target.")] = None,
    failure_domain: Annotated[
        str | None, typer.Option(help="All targets of a failure domain instead.")
    ] = None,
    activate: Annotated[bool, typer.Option(help="Take the drain back.")] = False,
    author: AuthorOption = "",
) -> None:
    """Drain a target, or a failure domain, for every instance, also after restarts.

    Of two operators who drain and activate at once, one wins and the other is
    told. Exit codes: as of propose.
    """
    from cassiaturn.configuration import read_current, read_version

    if (target_id is None) == (failure_domain is None):
        fail(ExitCode.USAGE, "name either a target or a --failure-domain")
    version = _run(table, read_current).row.version
    if version == 0:
        fail(ExitCode.USAGE, NO_CONFIGURATION)
    content = _run(table, lambda service: read_version(service, version)).content
    if failure_domain is not None:
        changed = content.with_domain_drain(failure_domain, drained=not activate)
    else:
        changed = content.with_drain(str(target_id), drained=not activate)
    if changed == content:
        state = "active" if activate else "drained"
        typer.echo(
            f"version {version}: {failure_domain or target_id} is {state} already"
        )
        return
    _propose(table, changed, version, author)


def _propose(
    table: str, content: "ConfigurationContent", base: int, author: str
) -> None:
    from cassiaturn.configuration import propose as propose_to

    proposed = _run(
        table,
        lambda service: propose_to(
            table=service,
            content=content,
            author=author or getpass.getuser(),
            expected_version=base,
            token=uuid.uuid4().hex,
        ),
    )
    typer.echo(f"version {proposed.version} is in force within 5 s")


def _run(
    url: str,
    read: Callable[["TableService"], Awaitable[Result[ValueT, "ProposalError"]]],
) -> ValueT:
    found = asyncio.run(_with_table(url, read))
    if is_successful(found):
        return found.unwrap()
    _fail(found.failure())


async def _with_table(
    url: str,
    read: Callable[["TableService"], Awaitable[Result[ValueT, "ProposalError"]]],
) -> Result[ValueT, "ProposalError"]:
    from cassiaturn.services import HttpCaller, HttpTableService

    caller = HttpCaller(base_url=url, timeout_s=READ_TIMEOUT_S)
    try:
        return await read(HttpTableService(caller=caller))
    finally:
        caller.close()


def _fail(error: "ProposalError") -> NoReturn:
    from cassiaturn.configuration import MalformedRow, Superseded, Undetermined
    from cassiaturn.services import Misused, Throttled

    match error:
        case Superseded(expected=expected, winner=winner, author=author):
            message = (
                f"nothing was changed: version {winner} of {author or 'nobody'} is in"
                f" force, not {expected}; show it and propose anew"
            )
            fail(ExitCode.CONFLICT, message)
        case Undetermined(version=version, detail=detail):
            message = f"version {version} may be in force ({detail}); list and see"
            fail(ExitCode.UNKNOWN, message)
        case MalformedRow(key=key, detail=detail):
            fail(ExitCode.USAGE, f"{key}: {detail}")
        case Throttled(retry_after_s=retry_after_s):
            message = f"the table service is busy; again in {retry_after_s} s"
            fail(ExitCode.UNREACHABLE, message)
        case Misused(detail=detail):
            fail(ExitCode.USAGE, f"the table service refused: {detail}")
        case _:
            fail(ExitCode.UNREACHABLE, f"the table service: {error.detail}")
