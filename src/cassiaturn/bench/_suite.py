"""Runs many benchmarks, two at a time."""

from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

from cassiaturn.bench._deployment import DEPLOYMENTS_BY_USER
from cassiaturn.bench._dispatcher import dispatchers_by_name
from cassiaturn.bench._result import BenchResult, RunName, result_of
from cassiaturn.bench._run import run_scenario
from cassiaturn.bench._scenario import scenarios_by_name

OURS = "cassiaturn"
EXACT = "exact"
REFERENCE = "cassiaturn-reference"
"""Our dispatcher without the scenario's faults and unwatched flows."""

BASELINES = ("random", "power-of-two", "central-fifo", "exact-fifo")
ABLATIONS_PREFIXES = ("without-", "with-")
PROCESSES = 2


def run_one(name: RunName) -> BenchResult:
    """Run one benchmark."""
    scenario = scenarios_by_name()[name.scenario]
    dispatcher = name.dispatcher
    if dispatcher == REFERENCE:
        scenario = scenario.reference()
        dispatcher = OURS
    tally = run_scenario(
        scenario,
        DEPLOYMENTS_BY_USER[name.user],
        dispatchers_by_name()[dispatcher],
        seed=name.seed,
    )
    return result_of(name, tally)


def run_all(names: Sequence[RunName]) -> Iterator[BenchResult]:
    """Run benchmarks in parallel; results come in the order of the names."""
    with ProcessPoolExecutor(max_workers=PROCESSES) as pool:
        yield from pool.map(run_one, names)


def names_of(
    users: Iterable[str], scenarios: Iterable[str], dispatchers: Iterable[str]
) -> Sequence[RunName]:
    """Return every combination that exists.

    The reference run is left out where a scenario has none.
    """
    scenarios = list(scenarios)
    dispatchers = list(dispatchers)
    return [
        RunName(user=user, scenario=scenario, dispatcher=dispatcher)
        for user in users
        for scenario in scenarios
        for dispatcher in dispatchers
        if dispatcher != REFERENCE or scenarios_by_name()[scenario].has_reference
    ]


def compared_dispatchers() -> Sequence[str]:
    """Return ours, its reference, the bound and the baselines."""
    return (OURS, REFERENCE, EXACT, *BASELINES)


def ablations() -> Sequence[str]:
    """Return ours with one module off, or on, at a time."""
    return tuple(
        name for name in dispatchers_by_name() if name.startswith(ABLATIONS_PREFIXES)
    )
