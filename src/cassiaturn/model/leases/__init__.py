"""A model of the leases, tokens and resubmissions on the users' platform."""

from cassiaturn.model.leases._explore import (
    DEEP_SCENARIOS_BY_NAME,
    MUTATIONS_BY_NAME,
    SCENARIOS_BY_NAME,
    broken_promise,
    explore_leases,
)
from cassiaturn.model.leases._state import Budget, Rules, Scenario, State, first_state

__all__ = [
    "DEEP_SCENARIOS_BY_NAME",
    "MUTATIONS_BY_NAME",
    "SCENARIOS_BY_NAME",
    "Budget",
    "Rules",
    "Scenario",
    "State",
    "broken_promise",
    "explore_leases",
    "first_state",
]
