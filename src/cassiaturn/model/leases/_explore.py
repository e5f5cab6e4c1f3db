"""What must hold in every state, the bounds that are explored, the mutations."""

from collections.abc import Iterator, Mapping

import cassiaturn.model.leases._members
import cassiaturn.model.leases._targets
import cassiaturn.model.leases._time  # noqa: F401  registers its actions
from cassiaturn.model._explore import Exploration, search
from cassiaturn.model.leases._registry import ACTIONS, Step, has_unasked, leads
from cassiaturn.model.leases._state import (
    MEMBERS,
    NOBODY,
    TARGETS,
    Budget,
    Rules,
    Scenario,
    State,
    first_state,
)

SCENARIOS_BY_NAME: Mapping[str, Scenario] = {
    "caller_resets": Scenario(Budget(claims=0, resets=1)),
    "member_killed": Scenario(Budget(kills=1)),
    "target_cut": Scenario(Budget(claims=0, target_cuts=1)),
    "late_order": Scenario(Budget(claims=0, late=1)),
    "late_order_copied": Scenario(Budget(claims=0, late=1, copies=1, resets=1)),
    "late_copy_killed": Scenario(Budget(late=1, copies=1, kills=1)),
    "late_order_target_cut": Scenario(Budget(claims=0, late=1, target_cuts=1)),
    "late_order_reset": Scenario(Budget(claims=0, late=1, resets=1)),
    "late_order_killed": Scenario(Budget(late=1, kills=1)),
    "killed_target_cut": Scenario(Budget(kills=1, target_cuts=1), caller_at=1),
    "leader_freezes": Scenario(Budget(freezes=1, resets=1), caller_at=0),
    "frozen": Scenario(Budget(freezes=1, resets=1), caller_at=1),
    "cut": Scenario(Budget(cuts=1, resets=1), caller_at=1),
    "cut_killed": Scenario(Budget(cuts=1, kills=1, resets=1), caller_at=1),
    "cut_target_cut": Scenario(Budget(cuts=1, target_cuts=1), caller_at=1),
    "cut_at_leader": Scenario(Budget(cuts=1, resets=1), caller_at=0),
    "planned_change_target_cut": Scenario(
        Budget(claims=0, changes=1, target_cuts=1, late=1), caller_at=1
    ),
    "zone_cut": Scenario(Budget(zone_cuts=1), caller_at=1),
    "zone_cut_planned_change": Scenario(
        Budget(claims=0, changes=1, lapses=1, late_stops=1), two_sides=True
    ),
    "target_added_killed": Scenario(
        Budget(additions=2, kills=1, submits=1), knows_all=False
    ),
    "target_added_planned_change": Scenario(
        Budget(claims=0, additions=2, changes=1, submits=1), knows_all=False
    ),
    "target_added_cut": Scenario(
        Budget(additions=2, cuts=1, submits=1),
        caller_at=0,
        started=False,
        knows_all=False,
    ),
}
"""Explored whole by the tests."""

DEEP_SCENARIOS_BY_NAME: Mapping[str, Scenario] = {
    "new_job_cut_target_cut": Scenario(Budget(cuts=1, target_cuts=1, submits=1)),
    "cut_target_cut_reset": Scenario(
        Budget(cuts=1, target_cuts=1, resets=1), caller_at=1
    ),
    "cut_target_cut_killed": Scenario(
        Budget(cuts=1, target_cuts=1, kills=1), caller_at=1
    ),
    "leader_freezes_before_start": Scenario(
        Budget(freezes=1, target_cuts=1, submits=1), caller_at=1, started=False
    ),
    "frozen_target_cut": Scenario(Budget(freezes=1, target_cuts=1), caller_at=1),
    "leader_freezes_cut": Scenario(
        Budget(freezes=1, cuts=1, resets=1), caller_at=0, started=False
    ),
    "cut_planned_change": Scenario(
        Budget(cuts=1, changes=1, target_cuts=1, late_stops=1, submits=1), caller_at=1
    ),
    "leader_freezes_target_cut": Scenario(
        Budget(freezes=1, resets=1, target_cuts=1), caller_at=0
    ),
}
"""Explored by the command."""

MUTATIONS_BY_NAME: Mapping[str, Rules] = {
    f"{name}_off": Rules()._replace(**{name: False}) for name in Rules._fields
}
"""The protocol with one safeguard off, by its name."""


def explore_leases(name: str, rules: Rules, *, max_states: int) -> Exploration:
    """Search until a promise breaks, no state is left, or the limit is reached.

    :param name: of the scenario.
    :param max_states: distinct states after which the search stops.
    """
    scenario = {**SCENARIOS_BY_NAME, **DEEP_SCENARIOS_BY_NAME}[name]
    return search(
        name,
        first_state(scenario),
        steps=lambda state: _steps(state, rules),
        broken=broken_promise,
        max_states=max_states,
    )


def broken_promise(state: State) -> str | None:
    """Return the name of a promise that a state breaks, if any."""
    running = [number for number in TARGETS if state.targets[number].run]
    if len(running) > 1:
        return "never_two_at_once"
    if running and _may_return(state) and _is_forgotten(state, running[0]):
        return "forgotten_runs_end_in_time"
    return None


def _may_return(state: State) -> bool:
    """Return whether the caller's pause is over, so that its job may begin anew."""
    has_left = state.budget.submits < Budget().submits
    return has_left and state.caller_at == NOBODY and state.caller_wait == 0


def _is_forgotten(state: State, target: int) -> bool:
    """Return whether a leader that may start the job anew misses a run of it."""
    for number in MEMBERS:
        run = state.tables[number].run
        knows = run is not None and run.target == target
        if leads(state, number) and not has_unasked(state, number) and not knows:
            return True
    return False


def _steps(state: State, rules: Rules) -> Iterator[Step]:
    for one in ACTIONS:
        yield from one(state, rules)
