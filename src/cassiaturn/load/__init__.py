"""Load generator and checker: scenarios against real processes on loopback."""

from cassiaturn.load._answers import CallerAnswer
from cassiaturn.load._counts import RunCounts, count_run
from cassiaturn.load._plan import PlannedJob, plan_jobs
from cassiaturn.load._relay import Relay, RelayPlace
from cassiaturn.load._run import run_scenario
from cassiaturn.load._scenario import Scenario
from cassiaturn.load._scenario_file import DEMO_SCENARIO, load_scenario

__all__ = [
    "DEMO_SCENARIO",
    "CallerAnswer",
    "PlannedJob",
    "Relay",
    "RelayPlace",
    "Scenario",
    "RunCounts",
    "count_run",
    "load_scenario",
    "plan_jobs",
    "run_scenario",
]
