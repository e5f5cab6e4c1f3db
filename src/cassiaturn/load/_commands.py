"""Commands that run scenarios."""

import asyncio
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from returns.result import Failure

from cassiaturn.load._report import to_line, to_lines
from cassiaturn.load._run import THIS_PROGRAM, run_scenario
from cassiaturn.load._scenario import Scenario
from cassiaturn.load._scenario_file import DEMO_SCENARIO, load_scenario
from cassiaturn.load._transport import measure_transport

IN_FLIGHT = [1, 8, 64, 512, 2048]
"""Starts in flight that are measured one after another."""

EXIT_BROKEN_INVARIANT = 1
EXIT_INVALID_SCENARIO = 2
EXIT_FAULT_WITHOUT_EFFECT = 3

app = typer.Typer(help="Run scenarios against real processes on loopback.")

KeepOption = Annotated[
    Path | None,
    typer.Option(help="Empty directory to keep settings, logs and journals in."),
]

ProgramOption = Annotated[
    Path | None,
    typer.Option(help="Executable of the dispatcher, in place of this one."),
]


@app.command()
def run(
    scenario: Annotated[Path, typer.Argument(help="YAML file with the scenario.")],
    keep: KeepOption = None,
    program: ProgramOption = None,
) -> None:
    """Run one scenario.

    Exit codes: 1 an invariant was violated, 2 the file is wrong, 3 a partition
    had no effect.
    """
    _run_file(scenario, keep, program, "scenario_done")


@app.command()
def demo(keep: KeepOption = None, program: ProgramOption = None) -> None:
    """Run both users' requests with a graceful stop and a kill."""
    _run_file(DEMO_SCENARIO, keep, program, "demo_done")


@app.command()
def check(
    scenarios: Annotated[list[Path], typer.Argument(help="YAML files.")],
) -> None:
    """Check scenario files without running them."""
    for path in scenarios:
        _load(path)


@app.command()
def transport(
    in_flight: Annotated[list[int], typer.Option(min=1, max=100_000)] = IN_FLIGHT,
    seconds: Annotated[float, typer.Option(min=0.1, max=600.0)] = 3.0,
) -> None:
    """Measure one stream from a holder to a runner, a process each."""
    for count in in_flight:
        with tempfile.TemporaryDirectory(prefix="cassiaturn-") as directory:
            figures = uvloop.run(
                measure_transport(Path(directory), in_flight=count, seconds=seconds)
            )
        print(figures.to_line())


def _run_file(path: Path, keep: Path | None, program: Path | None, event: str) -> None:
    scenario = _load(path)
    command = THIS_PROGRAM if program is None else (str(program),)
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        _run_in(scenario, keep, command, event)
        return
    with tempfile.TemporaryDirectory(prefix="cassiaturn-") as directory:
        _run_in(scenario, Path(directory), command, event)


def _run_in(
    scenario: Scenario, directory: Path, program: Sequence[str], event: str
) -> None:
    figures = asyncio.run(run_scenario(scenario, directory, program=program))
    for line in to_lines(figures):
        print(line)
    print(to_line(event, figures))
    if not figures.faults_had_effect:
        print("the partition had no effect", file=sys.stderr)
        raise typer.Exit(EXIT_FAULT_WITHOUT_EFFECT)
    if not figures.counts.invariants_hold:
        raise typer.Exit(EXIT_BROKEN_INVARIANT)


def _load(path: Path) -> Scenario:
    loaded = load_scenario(path)
    if isinstance(loaded, Failure):
        print(loaded.failure(), file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SCENARIO)
    return loaded.unwrap()
