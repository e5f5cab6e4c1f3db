"""Breadth-first search of every state within the bounds of a scenario."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar

import cassiaturn.model._faults  # noqa: F401  registers its actions
from cassiaturn.model._actions import ACTIONS, Step
from cassiaturn.model._promises import broken_promise
from cassiaturn.model._state import Rules, Scenario, State

StateT = TypeVar("StateT", bound=Hashable)


@dataclass(frozen=True, slots=True, kw_only=True)
class Exploration:
    """What a search found."""

    scenario: str
    """Name of the scenario."""

    states: int
    """Distinct states reached."""

    finished: bool
    """Whether every state within the bounds was reached."""

    broken: str | None = None
    """Name of a broken promise; None: all hold in every state reached."""

    trace: Sequence[str] = ()
    """A shortest way to the state that breaks it."""


def explore(scenario: Scenario, rules: Rules, *, max_states: int) -> Exploration:
    """Search until a promise breaks, no state is left, or the limit is reached.

    :param max_states: distinct states after which the search stops.
    """
    return search(
        scenario.name,
        _first_state(scenario),
        steps=lambda state: _steps(state, scenario, rules),
        broken=lambda state: broken_promise(state, scenario),
        max_states=max_states,
    )


def search(
    name: str,
    initial: StateT,
    *,
    steps: Callable[[StateT], Iterable[tuple[str, StateT]]],
    broken: Callable[[StateT], str | None],
    max_states: int,
) -> Exploration:
    """Reach every state, the nearest first.

    :param name: of the scenario, for the result.
    :param steps: every way in which a state can change, each with a label.
    :param broken: name of the promise that a state breaks; None: it breaks none.
    :param max_states: distinct states after which the search stops.
    """
    came_by: dict[StateT, tuple[StateT, str] | None] = {initial: None}
    queue = deque([initial])
    while queue:
        state = queue.popleft()
        for label, after in steps(state):
            if after in came_by:
                continue
            came_by[after] = (state, label)
            promise = broken(after)
            if promise is not None:
                return Exploration(
                    scenario=name,
                    states=len(came_by),
                    finished=False,
                    broken=promise,
                    trace=_trace(came_by, after),
                )
            queue.append(after)
        if len(came_by) >= max_states:
            break
    return Exploration(scenario=name, states=len(came_by), finished=not queue)


def _first_state(scenario: Scenario) -> State:
    state = scenario.initial()
    for label in scenario.begin_with:
        steps = _steps(state, scenario, Rules())
        state = next(step.state for step in steps if step.label == label)
    return state


def _steps(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    for one in ACTIONS:
        yield from one(state, scenario, rules)


def _trace(
    came_by: dict[StateT, tuple[StateT, str] | None], state: StateT
) -> Sequence[str]:
    labels = []
    step = came_by[state]
    while step is not None:
        before, label = step
        labels.append(label)
        step = came_by[before]
    return labels[::-1]
