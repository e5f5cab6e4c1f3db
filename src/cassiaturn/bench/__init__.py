"""Decision benchmarks in virtual time: what callers receive, by scenario."""

from cassiaturn.bench._deployment import DEPLOYMENTS_BY_USER, Deployment
from cassiaturn.bench._dispatcher import Dispatcher, dispatcher, dispatchers_by_name
from cassiaturn.bench._run import run_scenario
from cassiaturn.bench._scenario import Flow, Scenario, TargetFault, scenarios_by_name
from cassiaturn.bench._tally import ClassTally, Tally

__all__ = [
    "ClassTally",
    "DEPLOYMENTS_BY_USER",
    "Deployment",
    "Dispatcher",
    "Flow",
    "Scenario",
    "Tally",
    "TargetFault",
    "dispatcher",
    "dispatchers_by_name",
    "run_scenario",
    "scenarios_by_name",
]
