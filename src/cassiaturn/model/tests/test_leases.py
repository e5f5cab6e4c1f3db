"""Every state of leases, tokens and resubmissions, and every safeguard removed."""

import pytest

from cassiaturn.model.leases import (
    MUTATIONS_BY_NAME,
    SCENARIOS_BY_NAME,
    Rules,
    explore_leases,
)

MAX_STATES = 80_000


@pytest.mark.parametrize("name", SCENARIOS_BY_NAME)
def test_no_task_runs_twice_at_once_in_any_state(name: str) -> None:
    """
    A caller's connection breaks and it comes back after 1.3 s; members are killed,
    freeze and wake, or are cut off from each other and from targets; orders are
    carried out late; another member claims the leadership. In no order do two runs
    of the task overlap, or is one forgotten that may still go on.
    """
    found = explore_leases(name, Rules(), max_states=MAX_STATES)

    assert found.broken is None, found.trace
    assert found.finished


# The scenario in which each safeguard's loss shows, and the promise that breaks.
CAUGHT = {
    "fence_off": ("member_killed", "never_two_at_once"),
    "lease_off": ("target_cut", "never_two_at_once"),
    "start_by_off": ("late_order_target_cut", "never_two_at_once"),
    "wait_for_lease_off": ("target_cut", "never_two_at_once"),
    "settle_unknown_off": ("late_order", "never_two_at_once"),
    "list_is_no_proof_off": ("caller_resets", "never_two_at_once"),
    "drop_silent_members_off": ("cut_target_cut", "never_two_at_once"),
    "hold_inherited_off": ("killed_target_cut", "never_two_at_once"),
    "hold_outlasts_silence_off": ("cut_target_cut_killed", "never_two_at_once"),
    "join_by_id_off": ("member_killed", "never_two_at_once"),
    "stop_leftovers_off": ("cut_target_cut_reset", "forgotten_runs_end_in_time"),
    "copies_name_their_run_off": ("late_order_copied", "never_two_at_once"),
    "confirm_first_off": ("new_job_cut_target_cut", "never_two_at_once"),
    "survey_first_off": ("cut_killed", "never_two_at_once"),
    "hear_after_pause_off": ("leader_freezes_before_start", "never_two_at_once"),
    "start_by_from_decision_off": ("leader_freezes_before_start", "never_two_at_once"),
    "wait_for_silent_targets_off": ("planned_change_target_cut", "never_two_at_once"),
    "wait_for_other_leaders_off": ("cut_planned_change", "never_two_at_once"),
    "cover_earlier_leaders_off": ("zone_cut_planned_change", "never_two_at_once"),
    "confirm_new_targets_off": ("target_added_planned_change", "never_two_at_once"),
    "compare_lists_off": ("target_added_cut", "never_two_at_once"),
}


@pytest.mark.parametrize("mutation", MUTATIONS_BY_NAME)
def test_each_safeguard_of_the_leases_earns_its_place(mutation: str) -> None:
    scenario, promise = CAUGHT[mutation]

    found = explore_leases(scenario, MUTATIONS_BY_NAME[mutation], max_states=MAX_STATES)

    assert found.broken == promise
    assert found.trace
