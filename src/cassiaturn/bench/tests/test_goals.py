"""Goals name figures that exist, and are judged in their own direction."""

import pytest

from cassiaturn.bench._goals import Goal, goals, judge
from cassiaturn.bench._scenario import scenarios_by_name


@pytest.mark.parametrize(
    ("goal", "value", "is_met"),
    [
        (Goal(scenario="s", figure="f", at_most=1.2), 1.2, True),
        (Goal(scenario="s", figure="f", at_most=1.2), 1.21, False),
        (Goal(scenario="s", figure="f", at_most=1.2), float("nan"), False),
        (Goal(scenario="s", figure="f", at_least=0.95), 0.95, True),
        (Goal(scenario="s", figure="f", at_least=0.95), 0.94, False),
    ],
)
def test_a_goal_is_met_up_to_its_bound(goal: Goal, value: float, is_met: bool) -> None:
    assert goal.is_met(value) is is_met


def test_every_goal_names_a_scenario_and_has_a_bound() -> None:
    for goal in goals():
        assert goal.scenario in scenarios_by_name()
        assert (goal.at_most is None) != (goal.at_least is None)


def test_an_unmet_goal_is_said_to_be_unmet() -> None:
    ratios = {
        f"{user}/{goal.scenario}": dict.fromkeys(
            (item.figure for item in goals()), float("nan")
        )
        for user in ("kwabena",)
        for goal in goals()
    }
    ratios["kwabena/overload-3"]["useful"] = 0.5
    lines = [result.line() for result in judge(ratios)]
    wanted = "figure=useful at_least=0.95 measured=0.5 met=no"
    assert any(line.endswith(wanted) for line in lines)


def test_a_site_of_shared_targets_alone_has_no_goals_on_slots() -> None:
    """Its loads are measured beside the others', and must not end the check."""
    assert not list(judge({"relining/shared-heavy": {"worth_in_time": 0.9}}))
