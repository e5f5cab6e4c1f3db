"""An explicit model of the submission protocol, and checks of its promises.

The model is small enough to reach every state within its bounds; the same events
drive the real tables in random order by :class:`Schedule`.
"""

from cassiaturn.model._checks import Finding
from cassiaturn.model._explore import Exploration, explore
from cassiaturn.model._fleet import Fleet
from cassiaturn.model._promises import broken_promise, promises_by_name
from cassiaturn.model._scenarios import (
    DEEP_SCENARIOS_BY_NAME,
    MUTATIONS_BY_NAME,
    SCENARIOS_BY_NAME,
)
from cassiaturn.model._scheduler import Schedule
from cassiaturn.model._state import Budget, Record, Rules, Scenario, State

__all__ = [
    "DEEP_SCENARIOS_BY_NAME",
    "MUTATIONS_BY_NAME",
    "SCENARIOS_BY_NAME",
    "Budget",
    "Exploration",
    "Finding",
    "Fleet",
    "Record",
    "Rules",
    "Scenario",
    "Schedule",
    "State",
    "broken_promise",
    "explore",
    "promises_by_name",
]
