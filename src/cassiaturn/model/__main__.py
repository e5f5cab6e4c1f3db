"""Explore the model from the command line."""

from typing import Annotated

import typer

from cassiaturn.model import (
    DEEP_SCENARIOS_BY_NAME,
    MUTATIONS_BY_NAME,
    SCENARIOS_BY_NAME,
    Exploration,
    Rules,
    explore,
)

_MAX_STATES = 1_000_000
_EXIT_BROKEN = 1
_EXIT_USAGE = 2

app = typer.Typer(add_completion=False, help="Check the submission protocol.")


@app.callback()
def _root() -> None:
    """Keep ``explore`` a subcommand."""


@app.command("explore")
def explore_all(
    mutation: Annotated[
        str, typer.Option(help=f"Safeguard off: {', '.join(MUTATIONS_BY_NAME)}.")
    ] = "",
    deep: Annotated[bool, typer.Option(help="The large scenarios too.")] = False,
) -> None:
    """Reach every state; exit 1 with a trace if a promise breaks."""
    if mutation and mutation not in MUTATIONS_BY_NAME:
        typer.echo(f"unknown mutation {mutation!r}", err=True)
        raise typer.Exit(_EXIT_USAGE)
    rules = MUTATIONS_BY_NAME[mutation] if mutation else Rules()
    scenarios = [*SCENARIOS_BY_NAME.values()]
    if deep:
        scenarios.extend(DEEP_SCENARIOS_BY_NAME.values())
    broken = False
    for scenario in scenarios:
        found = explore(scenario, rules, max_states=_MAX_STATES)
        _print(found)
        broken = broken or found.broken is not None
    if broken:
        raise typer.Exit(_EXIT_BROKEN)


def _print(found: Exploration) -> None:
    typer.echo(
        f"event=explored scenario={found.scenario} states={found.states}"
        f" finished={found.finished} broken={found.broken or '-'}"
    )
    for number, label in enumerate(found.trace, start=1):
        typer.echo(f"  {number}. {label}")


if __name__ == "__main__":
    app()
