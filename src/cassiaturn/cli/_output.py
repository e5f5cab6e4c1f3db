"""What commands print: tables for people, JSON for programs."""

import json
import sys
from collections.abc import Sequence
from typing import Annotated, Any, NoReturn

import typer

from cassiaturn.cli._exit import ExitCode

PIPE_WIDTH = 400
"""Width of a table that goes to a file or another program, in characters."""

JsonOption = Annotated[
    bool, typer.Option("--json", help="Print one JSON document, for programs.")
]


def print_json(document: Any) -> None:
    """Print one JSON document on one line.

    :param document: plain values.
    """
    typer.echo(json.dumps(document, ensure_ascii=False))


def print_table(
    title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Print a table, or a line that says that it is empty.

    :param title: what the rows are.
    :param columns: headings.
    :param rows: one value a column each.
    """
    from rich.console import Console
    from rich.table import Table

    table = Table(title=title, title_justify="left", box=None, pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(str(value) for value in row))
    console = Console(highlight=False, markup=False)
    if not console.is_terminal:
        # What reads a pipe expects one line a row, however long.
        console.width = PIPE_WIDTH
    if not rows:
        typer.echo(f"{title}: none")
        return
    with console.capture() as captured:
        console.print(table)
    for line in captured.get().splitlines():
        typer.echo(line.rstrip())


def fail(code: ExitCode, message: object) -> NoReturn:
    """End the command with a message on standard error.

    :param code: how it ended.
    :param message: what happened and what to do.
    :raises typer.Exit: always.
    """
    print(message, file=sys.stderr)
    raise typer.Exit(code)
