"""Command line of the decision benchmarks: ``python -m cassiaturn.bench``."""

from dataclasses import replace
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from cassiaturn.bench._check import (
    BASELINE_PATH,
    Baseline,
    load_baseline,
    ratios_of,
    regressions,
    save_baseline,
    spread_lines,
)
from cassiaturn.bench._cost import costs, slope_line
from cassiaturn.bench._deployment import DEPLOYMENTS_BY_USER
from cassiaturn.bench._dispatcher import dispatchers_by_name
from cassiaturn.bench._goals import judge
from cassiaturn.bench._plot import PLOTS_PATH, plot_scenario
from cassiaturn.bench._scenario import scenarios_by_name
from cassiaturn.bench._shared_suite import (
    SPLIT_VIEW_AGE_S,
    run_shared,
    run_splits,
    shared_ratios,
    shared_runs,
    split_runs,
)
from cassiaturn.bench._shared_variants import EXACT as EXACT_SHARED
from cassiaturn.bench._shared_variants import OURS as OURS_SHARED
from cassiaturn.bench._shared_variants import variants_by_name
from cassiaturn.bench._suite import (
    BASELINES,
    EXACT,
    OURS,
    REFERENCE,
    ablations,
    compared_dispatchers,
    names_of,
    run_all,
)
from cassiaturn.bench._workload import SEED

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)

ScenarioOption = Annotated[
    str | None, typer.Option(help="one scenario; default: every one")
]
UserOption = Annotated[str | None, typer.Option(help="one user's site; default: both")]


@app.command()
def run(
    scenario: ScenarioOption = None,
    user: UserOption = None,
    dispatcher: Annotated[
        str | None, typer.Option(help="one dispatcher; default: ours and baselines")
    ] = None,
    ablation: Annotated[
        bool, typer.Option(help="also run ours with one module off at a time")
    ] = False,
) -> None:
    """Print one key=value line for each result."""
    dispatchers = [dispatcher] if dispatcher else list(compared_dispatchers())
    if ablation:
        dispatchers.extend(ablations())
    known = {*dispatchers_by_name(), REFERENCE}
    for name in dispatchers:
        if name not in known:
            _fail(f"no dispatcher '{name}'; there are {', '.join(sorted(known))}")
    for result in run_all(names_of(_users(user), _scenarios(scenario), dispatchers)):
        typer.echo(result.line())


@app.command()
def check(
    update: Annotated[
        bool, typer.Option(help="write the baseline in place of comparing")
    ] = False,
    baseline_path: Annotated[
        Path, typer.Option("--baseline", help="the committed ratios")
    ] = BASELINE_PATH,
) -> None:
    """Rerun with fixed seeds; exit 1 if a ratio is past its bound.

    Goals are printed, met or not; they do not decide the exit code.
    """
    names = names_of(DEPLOYMENTS_BY_USER, scenarios_by_name(), (OURS, EXACT, REFERENCE))
    measured = {**ratios_of(run_all(names)), **shared_ratios()}
    for goal in judge(measured):
        typer.echo(goal.line())
    if update:
        ratios = {run: dict(figures) for run, figures in measured.items()}
        save_baseline(baseline_path, Baseline(seed=SEED, ratios=ratios))
        typer.echo(f"event=bench_baseline_written path={baseline_path}")
        return
    found = regressions(load_baseline(baseline_path), measured)
    for regression in found:
        typer.echo(regression.line())
    plays = len(names) + len(shared_runs((OURS_SHARED, EXACT_SHARED)))
    typer.echo(f"event=bench_checked runs={plays} regressions={len(found)}")
    if found:
        raise typer.Exit(1)


@app.command()
def shared(
    ablation: Annotated[
        bool, typer.Option(help="also ours with one module off at a time")
    ] = False,
) -> None:
    """Print what callers get where tasks share targets, and the exact queue's bound."""
    variants = list(variants_by_name()) if ablation else [OURS_SHARED, EXACT_SHARED]
    for result in run_shared(shared_runs(variants)):
        typer.echo(result.line())


@app.command()
def split(
    view_age_s: Annotated[
        float, typer.Option(help="how old what members know of groups is, in seconds")
    ] = SPLIT_VIEW_AGE_S,
) -> None:
    """Print what callers get where several leaders share a site's workers."""
    for result in run_splits(split_runs(view_age_s)):
        typer.echo(result.line())


@app.command()
def plot(
    directory: Annotated[Path, typer.Option(help="where pictures go")] = PLOTS_PATH,
    scenario: ScenarioOption = None,
    user: UserOption = None,
) -> None:
    """Write one picture a scenario, ours against bound and baselines."""
    shown = (OURS, EXACT, *BASELINES)
    for name in _scenarios(scenario):
        results = list(run_all(names_of(_users(user), [name], shown)))
        path = plot_scenario(name, results, directory)
        typer.echo(f"event=bench_plot_written path={path}")


@app.command()
def spread(
    scenario: Annotated[str, typer.Option(help="the scenario")] = "steady-80",
    seeds: Annotated[int, typer.Option(min=2, help="how many seeds, from 1")] = 6,
) -> None:
    """Print mean and standard deviation of each ratio over seeds."""
    _scenarios(scenario)
    ratios_by_seed = []
    for seed in range(1, seeds + 1):
        names = names_of(DEPLOYMENTS_BY_USER, [scenario], (OURS, EXACT, REFERENCE))
        seeded = [replace(name, seed=seed) for name in names]
        ratios_by_seed.append(ratios_of(run_all(seeded)))
    for line in spread_lines(ratios_by_seed):
        typer.echo(line)


@app.command()
def cost() -> None:
    """Print nanoseconds for each decision, and its slope."""
    for measured in costs():
        for item in measured:
            typer.echo(item.line())
        typer.echo(slope_line(measured))


def _users(user: str | None) -> list[str]:
    if user is None:
        return list(DEPLOYMENTS_BY_USER)
    if user not in DEPLOYMENTS_BY_USER:
        _fail(f"no user '{user}'; there are {', '.join(DEPLOYMENTS_BY_USER)}")
    return [user]


def _scenarios(scenario: str | None) -> list[str]:
    if scenario is None:
        return list(scenarios_by_name())
    if scenario not in scenarios_by_name():
        _fail(f"no scenario '{scenario}'; there are {', '.join(scenarios_by_name())}")
    return [scenario]


def _fail(problem: str) -> NoReturn:
    typer.echo(f"error: {problem}", err=True)
    raise typer.Exit(2)


if __name__ == "__main__":
    app()
