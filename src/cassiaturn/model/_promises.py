"""What must hold in every state."""

from collections.abc import Callable, Mapping

from cassiaturn.model._state import Record, RunStatus, Scenario, State

Promise = Callable[[State, Scenario], bool]
"""Whether a promise is kept in a state."""

_PROMISES_BY_NAME: dict[str, Promise] = {}


def promise(function: Promise) -> Promise:
    """Register a promise under its name."""
    _PROMISES_BY_NAME[function.__name__] = function
    return function


def promises_by_name() -> Mapping[str, Promise]:
    """Return every promise."""
    return _PROMISES_BY_NAME


def broken_promise(state: State, scenario: Scenario) -> str | None:
    """Return the name of a promise that a state breaks, if any."""
    for name, holds in _PROMISES_BY_NAME.items():
        if not holds(state, scenario):
            return name
    return None


@promise
def begins_at_most_once(state: State, scenario: Scenario) -> bool:
    """Check that a task which may not be repeated begins once at most."""
    return scenario.repeatable or max(state.begins) <= 1


@promise
def never_two_at_once(state: State, scenario: Scenario) -> bool:
    """No task runs at two targets at the same time."""
    for task in range(scenario.tasks):
        running = 0
        for target in state.targets:
            run = target.runs[task]
            if run is not None and run.status is RunStatus.RUNNING:
                running += 1
        if running > 1:
            return False
    return True


@promise
def not_run_is_true(state: State, scenario: Scenario) -> bool:
    """Where a caller was told "not run", no task began, before or after."""
    return Record.NOT_RUN not in state.said or not any(state.begins)


@promise
def complete_is_whole(state: State, scenario: Scenario) -> bool:
    """Where a caller was told "complete", every task began."""
    return Record.COMPLETE not in state.said or all(state.begins)


@promise
def one_final_answer(state: State, scenario: Scenario) -> bool:
    """Callers are told one final answer at most."""
    return len(state.said) <= 1
