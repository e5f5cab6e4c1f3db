"""Commands that check files without a running instance."""

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer
from returns.pipeline import is_successful

from cassiaturn.cli._exit import ExitCode
from cassiaturn.cli._output import JsonOption, fail, print_json, print_table

app = typer.Typer(help="Check files offline.", no_args_is_help=True)

FilesArgument = Annotated[list[Path], typer.Argument(help="Files to check.")]


@app.command()
def settings(files: FilesArgument) -> None:
    """Check settings files of instances, and the files that they name.

    Exit codes: 0 all are valid, 2 some are not.
    """
    from cassiaturn.configuration import load_initial
    from cassiaturn.entities import Schema
    from cassiaturn.settings import load_instance_settings

    problems: list[object] = []
    for file in files:
        loaded = load_instance_settings(file)
        if not is_successful(loaded):
            problems.append(loaded.failure())
            continue
        named = loaded.unwrap()
        schema = Schema.load(named.schemas)
        if not is_successful(schema):
            problems.extend(schema.failure())
        if named.configuration_file is not None:
            shared = load_initial(named.configuration_file)
            if not is_successful(shared):
                problems.append(shared.failure())
    _report(problems, files)


@app.command()
def configuration(files: FilesArgument) -> None:
    """Check files of shared configuration.

    Exit codes: 0 all are valid, 2 some are not.
    """
    from cassiaturn.configuration import load_content

    results = [load_content(file) for file in files]
    problems = [found.failure() for found in results if not is_successful(found)]
    _report(problems, files)


@app.command()
def schema(files: FilesArgument, as_json: JsonOption = False) -> None:
    """Check schema files and show the methods that they declare.

    Exit codes: 0 all are valid, 2 some are not.
    """
    from cassiaturn.entities import Schema

    loaded = Schema.load(files)
    if not is_successful(loaded):
        fail(ExitCode.USAGE, "\n".join(str(error) for error in loaded.failure()))
    methods = loaded.unwrap().methods_by_name.values()
    if as_json:
        print_json(
            [
                {
                    "name": method.name,
                    "repeatable": method.repeatable,
                    "class": method.request_class.name.lower(),
                    "expected_run_ms": method.expected_run_ms,
                    "deadline_ms": method.deadline_ms,
                }
                for method in methods
            ]
        )
        return
    print_table(
        "Methods",
        ["Method", "Repeatable", "Class", "Expected run, ms", "Deadline, ms"],
        [
            [
                method.name,
                "yes" if method.repeatable else "no",
                method.request_class.name.lower(),
                method.expected_run_ms,
                method.deadline_ms,
            ]
            for method in methods
        ],
    )


def _report(problems: Sequence[object], files: Sequence[Path]) -> None:
    if problems:
        fail(ExitCode.USAGE, "\n".join(str(problem) for problem in problems))
    for file in files:
        typer.echo(f"{file}: valid")
