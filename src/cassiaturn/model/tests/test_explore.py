"""Every state of the protocol within the bounds, and every safeguard removed."""

import pytest

from cassiaturn.model import (
    MUTATIONS_BY_NAME,
    SCENARIOS_BY_NAME,
    Rules,
    explore,
)

MAX_STATES = 100_000


@pytest.mark.parametrize("name", SCENARIOS_BY_NAME)
def test_promises_hold_in_every_state(name: str) -> None:
    """
    Callers submit twice or more, to any instance. Homes die, are taken for dead,
    or act late; starts arrive late or never; store answers are lost. In no order
    does a task begin twice, or a caller hear something that is not true.
    """
    found = explore(SCENARIOS_BY_NAME[name], Rules(), max_states=MAX_STATES)

    assert found.broken is None, found.trace
    assert found.finished


# The promise that breaks first without the safeguard, where it shows soonest.
CAUGHT = {
    "fence_off": ("two_instances", "not_run_is_true"),
    "start_by_off": ("two_instances_repeatable", "never_two_at_once"),
    "claim_token_off": ("claim_forgotten_answer_lost", "not_run_is_true"),
    "not_run_binding_off": ("two_instances", "not_run_is_true"),
    "takeover_row_off": ("two_successors", "begins_at_most_once"),
    "unbegun_not_resumed_off": ("two_instances", "not_run_is_true"),
    "silent_targets_wait_off": ("two_instances", "not_run_is_true"),
    "one_stream_off": ("stream_breaks", "not_run_is_true"),
    "expiry_off": ("home_forgets", "not_run_is_true"),
}


@pytest.mark.parametrize("mutation", MUTATIONS_BY_NAME)
def test_each_safeguard_earns_its_place(mutation: str) -> None:
    scenario, promise = CAUGHT[mutation]

    found = explore(
        SCENARIOS_BY_NAME[scenario], MUTATIONS_BY_NAME[mutation], max_states=MAX_STATES
    )

    assert found.broken == promise
    assert found.trace
