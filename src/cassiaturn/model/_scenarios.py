"""The bounds that are explored, and the safeguards that are turned off."""

from collections.abc import Mapping

from cassiaturn.model._state import Budget, Rules, Scenario

_QUIET = Budget(
    submits=2,
    kills=1,
    target_losses=0,
    lost_answers=0,
    forgets=0,
    lapses=1,
    delays=1,
)
_STILL = _QUIET._replace(kills=0, lapses=0, delays=0)

_TWO = Scenario(
    name="two_instances",
    bare_id=False,
    repeatable=False,
    instances=2,
    targets=2,
    tasks=1,
    budget=_QUIET,
)

_SCENARIOS = (
    _TWO,
    _TWO._replace(
        name="two_instances_repeatable",
        repeatable=True,
        budget=_QUIET._replace(lapses=2),
    ),
    _TWO._replace(
        name="three_instances_two_deaths",
        instances=3,
        budget=_QUIET._replace(submits=3, kills=2, lapses=0),
    ),
    _TWO._replace(name="two_tasks", tasks=2),
    _TWO._replace(
        name="two_tasks_repeatable",
        tasks=2,
        repeatable=True,
        budget=_QUIET._replace(lapses=0),
        begin_with=(
            "0 opens its ticket",
            "submitted to 1",
            "0 sends task 0 to target 0",
            "task 0 of 0 at target 0: begins",
        ),
    ),
    _TWO._replace(name="target_dies", budget=_QUIET._replace(target_losses=1)),
    _TWO._replace(
        name="target_dies_repeatable",
        repeatable=True,
        budget=_QUIET._replace(target_losses=1),
    ),
    _TWO._replace(name="stream_breaks", budget=_STILL._replace(kills=1, reconnects=1)),
    _TWO._replace(name="home_forgets", budget=_QUIET._replace(submits=3, forgets=1)),
    _TWO._replace(
        name="successor_forgets",
        tasks=2,
        budget=_STILL._replace(submits=3, forgets=1),
        begin_with=(
            "0 opens its ticket",
            "submitted to 1",
            "0 sends task 0 to target 0",
            "task 0 of 0 at target 0: begins",
            "1 succeeds 0",
        ),
    ),
    _TWO._replace(
        name="claim_answer_lost",
        bare_id=True,
        budget=_QUIET._replace(lost_answers=1),
    ),
    _TWO._replace(
        name="claim_forgotten_answer_lost",
        bare_id=True,
        budget=_STILL._replace(submits=3, kills=1, lost_answers=1, forgets=1),
    ),
    _TWO._replace(
        name="two_successors",
        instances=3,
        tasks=2,
        budget=_STILL._replace(submits=3),
        begin_with=(
            "0 opens its ticket",
            "submitted to 1",
            "submitted to 2",
            "0 sends task 0 to target 0",
            "task 0 of 0 at target 0: begins",
        ),
    ),
)

_DEEP = (
    _TWO._replace(
        name="deep_three_instances_two_tasks",
        instances=3,
        tasks=2,
        budget=_STILL._replace(submits=3, kills=1),
    ),
    _TWO._replace(
        name="deep_three_claimants",
        bare_id=True,
        instances=3,
        budget=_STILL._replace(submits=3, kills=1, lost_answers=1),
    ),
)

SCENARIOS_BY_NAME: Mapping[str, Scenario] = {one.name: one for one in _SCENARIOS}
"""Explored whole by the tests."""

DEEP_SCENARIOS_BY_NAME: Mapping[str, Scenario] = {one.name: one for one in _DEEP}
"""Explored whole by the command, in about a minute."""

MUTATIONS_BY_NAME: Mapping[str, Rules] = {
    f"{field}_off": Rules()._replace(**{field: False}) for field in Rules._fields
}
"""The protocol with one safeguard off, by its name."""
