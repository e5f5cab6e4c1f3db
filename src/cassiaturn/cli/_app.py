"""All commands; each imports what it needs when it is called."""

import typer

from cassiaturn.cli import (
    _configuration,
    _drain,
    _explain,
    _jobs,
    _offline,
    _serve,
    _status,
)

PROGRAM = "cassiaturn"

PASSED_ON = {"allow_extra_args": True, "ignore_unknown_options": True}
"""Leaves every argument, also ``--help``, to the command behind."""

app = typer.Typer(
    help="Dispatch short tasks: every task once, every answer whole.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    add_completion=False,
)
app.command()(_serve.serve)
app.command()(_jobs.submit)
app.command()(_jobs.watch)
app.command()(_jobs.collect)
app.command()(_jobs.cancel)
app.command()(_status.status)
app.command()(_explain.explain)
app.add_typer(_offline.app, name="check")
app.add_typer(_configuration.app, name="configuration")
app.add_typer(_drain.app, name="drain")


@app.command(context_settings=PASSED_ON, add_help_option=False)
def standin(context: typer.Context) -> None:
    """Run a small stand-in for targets or the platform, for tests."""
    from cassiaturn.standins._commands import app as standins

    standins(args=context.args, prog_name=f"{PROGRAM} standin")


@app.command(context_settings=PASSED_ON, add_help_option=False)
def load(context: typer.Context) -> None:
    """Run scenarios against real processes on loopback."""
    from cassiaturn.load._commands import app as scenarios

    scenarios(args=context.args, prog_name=f"{PROGRAM} load")


@app.command(context_settings=PASSED_ON, add_help_option=False)
def demo(context: typer.Context) -> None:
    """Run both users' requests with a graceful stop and a kill."""
    from cassiaturn.load._commands import app as scenarios

    scenarios(args=["demo", *context.args], prog_name=PROGRAM)


def main() -> None:
    """Run the command that the arguments name, and exit."""
    app(prog_name=PROGRAM)
