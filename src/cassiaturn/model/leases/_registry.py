"""The kinds of event, and how a state is changed by one."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from cassiaturn.model.leases._state import (
    Member,
    Rules,
    State,
    Tables,
    Target,
)


class Step(NamedTuple):
    """One thing that happened."""

    label: str
    """What, for a trace."""

    state: State
    """What is the case then."""


Action = Callable[[State, Rules], Iterator[Step]]
"""Yields every way in which one kind of event can happen in a state."""

ACTIONS: list[Action] = []
"""Every kind of event."""


def action(function: Action) -> Action:
    """Register a kind of event."""
    ACTIONS.append(function)
    return function


def put_member(state: State, number: int, **changes: Any) -> State:
    """Return a state with one member changed."""
    member: Member = state.members[number]._replace(**changes)
    rows = state.members
    return state._replace(members=(*rows[:number], member, *rows[number + 1 :]))


def put_tables(state: State, number: int, **changes: Any) -> State:
    """Return a state with one member's tables changed."""
    tables: Tables = state.tables[number]._replace(**changes)
    rows = state.tables
    return state._replace(tables=(*rows[:number], tables, *rows[number + 1 :]))


def put_target(state: State, number: int, **changes: Any) -> State:
    """Return a state with one target changed."""
    target: Target = state.targets[number]._replace(**changes)
    rows = state.targets
    return state._replace(targets=(*rows[:number], target, *rows[number + 1 :]))


def spend(state: State, fault: str) -> State | None:
    """Return a state in which a fault may happen once less; None: it may not."""
    left = getattr(state.budget, fault)
    if left <= 0:
        return None
    return state._replace(budget=state.budget._replace(**{fault: left - 1}))


def acts(state: State, number: int) -> bool:
    """Return whether a member's process takes turns."""
    member = state.members[number]
    return member.alive and not member.frozen


def leads(state: State, number: int) -> bool:
    """Return whether a member leads and takes turns."""
    return acts(state, number) and state.tables[number].token > 0


def hear_each_other(state: State, one: int, other: int) -> bool:
    """Return whether a message of one member reaches the other now."""
    if one == other:
        return True
    return not state.members_cut and acts(state, one) and acts(state, other)


def reaches(state: State, member: int, target: int) -> bool:
    """Return whether a member's orders reach a target."""
    return (member, target) not in state.links_cut


def has_unasked(state: State, number: int) -> bool:
    """Return whether a leader has yet to ask a target that obeys it."""
    tables = state.tables[number]
    return any(
        tables.token >= state.targets[target].token
        for target in tables.directory
        if tables.token
        and target not in tables.heard
        and reaches(state, number, target)
    )
