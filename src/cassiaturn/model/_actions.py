"""What can happen in a state: callers, homes, targets, faults."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from cassiaturn.model._state import (
    Claim,
    Flight,
    Instance,
    Record,
    Rules,
    Run,
    RunStatus,
    Scenario,
    Sent,
    State,
    Target,
)


class Step(NamedTuple):
    """One thing that happened."""

    label: str
    """What, for a trace."""

    state: State
    """What is the case then."""


Action = Callable[[State, Scenario, Rules], Iterator[Step]]
"""Yields every way in which one kind of event can happen in a state."""

ACTIONS: list[Action] = []
"""Every kind of event."""


def action(function: Action) -> Action:
    """Register a kind of event."""
    ACTIONS.append(function)
    return function


def put_instance(state: State, number: int, instance: Instance) -> State:
    """Return a state with one instance replaced."""
    rows = state.instances
    return state._replace(instances=(*rows[:number], instance, *rows[number + 1 :]))


def put_target(state: State, number: int, target: Target) -> State:
    """Return a state with one target replaced."""
    rows = state.targets
    return state._replace(targets=(*rows[:number], target, *rows[number + 1 :]))


def put_sent(instance: Instance, task: int, sent: Sent) -> Instance:
    """Return an instance that knows something else of one task."""
    known = instance.sent
    return instance._replace(sent=(*known[:task], sent, *known[task + 1 :]))


def put_run(target: Target, task: int, run: Run) -> Target:
    """Return a target with one run replaced."""
    runs = target.runs
    return target._replace(runs=(*runs[:task], run, *runs[task + 1 :]))


def say(state: State, record: Record) -> State:
    """Return a state in which a caller got a final answer."""
    return state._replace(said=state.said | {record})


def opened(state: State, number: int, scenario: Scenario) -> State:
    """Return a state in which an instance accepted the submission as its home."""
    instance = state.instances[number]
    instance = instance._replace(
        asked=False,
        record=Record.RUNNING,
        sent=(Sent.UNSENT,) * scenario.tasks,
        claim_lost=False,
        token=instance.token + 1 if scenario.bare_id else 0,
    )
    return put_instance(state, number, instance)


@action
def submit(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Let a caller send the submission, the first time or again."""
    if not state.budget.submits:
        return
    budget = state.budget._replace(submits=state.budget.submits - 1)
    for number, instance in enumerate(state.instances):
        if not instance.alive or instance.record or instance.asked:
            continue
        after = state._replace(budget=budget)
        if not scenario.bare_id and number == 0:
            if rules.expiry and instance.forgot:
                continue
            yield Step(f"{number} opens its ticket", opened(after, 0, scenario))
        else:
            after = put_instance(after, number, instance._replace(asked=True))
            yield Step(f"submitted to {number}", after)


@action
def claim(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Insert the claim of an instance; the answer may be lost either way."""
    if not scenario.bare_id:
        return
    for number, instance in enumerate(state.instances):
        if not instance.alive or not instance.asked or instance.claim_lost:
            continue
        if instance.record:
            continue
        mine = Claim(number, instance.token)
        if state.claim is None:
            written = state._replace(claim=mine)
            yield Step(f"{number} claims", opened(written, number, scenario))
        elif state.claim == mine:
            yield Step(f"{number} finds its claim", opened(state, number, scenario))
        if not state.budget.lost_answers:
            continue
        left = state.budget.lost_answers - 1
        lost = put_instance(state, number, instance._replace(claim_lost=True))
        lost = lost._replace(budget=state.budget._replace(lost_answers=left))
        if state.claim is None:
            yield Step(f"{number} claims, answer lost", lost._replace(claim=mine))
            delayed = state.delayed_claims | {mine}
            yield Step(
                f"{number} claims, not written yet",
                lost._replace(delayed_claims=delayed),
            )
        else:
            yield Step(f"{number} conflicts, answer lost", lost)


@action
def take_effect(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Let a claim thought lost reach the store."""
    for delayed in state.delayed_claims:
        left = state._replace(delayed_claims=state.delayed_claims - {delayed})
        if state.claim is None:
            yield Step(
                f"claim of {delayed.home} takes effect", left._replace(claim=delayed)
            )


@action
def reread(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Read the row again for a claimant whose answer was lost."""
    for number, instance in enumerate(state.instances):
        if not instance.alive or not instance.claim_lost:
            continue
        mine = Claim(number, instance.token)
        if rules.claim_token:
            is_mine = state.claim == mine
        else:
            is_mine = state.claim is not None and state.claim.home == number
        if is_mine:
            yield Step(f"{number} rereads: mine", opened(state, number, scenario))
        else:
            after = put_instance(state, number, instance._replace(claim_lost=False))
            yield Step(f"{number} rereads: not mine", after)


@action
def send(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Send a start from a home."""
    for number, instance in enumerate(state.instances):
        if not instance.alive or instance.record is not Record.RUNNING:
            continue
        for task, sent in enumerate(instance.sent):
            if sent is not Sent.UNSENT:
                continue
            after = put_instance(state, number, put_sent(instance, task, Sent.SENT))
            for target in range(scenario.targets):
                flight = Flight(number, task, target, False)
                yield Step(
                    f"{number} sends task {task} to target {target}",
                    after._replace(flights=state.flights | {flight}),
                )


@action
def deliver(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Let a start reach its target, which begins or refuses it."""
    for flight in state.flights:
        target = state.targets[flight.target]
        after = state._replace(flights=state.flights - {flight})
        where = f"task {flight.task} of {flight.home} at target {flight.target}"
        fenced = rules.fence and flight.home in target.fenced
        late = rules.start_by and flight.late
        run = target.runs[flight.task]
        if not target.alive:
            continue
        if fenced or late:
            yield from _denied(after, flight, where)
        elif run is None or (scenario.repeatable and run.status is RunStatus.LAPSED):
            begun = put_run(target, flight.task, Run(flight.home, RunStatus.RUNNING))
            begins = list(state.begins)
            begins[flight.task] += 1
            yield Step(
                f"{where}: begins",
                put_target(after, flight.target, begun)._replace(begins=tuple(begins)),
            )


def _denied(after: State, flight: Flight, where: str) -> Iterator[Step]:
    yield Step(f"{where}: refused, unheard", after)
    home = after.instances[flight.home]
    if not home.alive or home.record is not Record.RUNNING:
        return
    if home.sent[flight.task] is Sent.SENT:
        told = put_sent(home, flight.task, Sent.UNSENT)
        yield Step(f"{where}: refused", put_instance(after, flight.home, told))


@action
def run_on(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """End a run by itself, or by its lease, since nobody renews it."""
    for number, target in enumerate(state.targets):
        if not target.alive:
            continue
        for task, run in enumerate(target.runs):
            if run is None or run.status is not RunStatus.RUNNING:
                continue
            after = put_target(
                state,
                number,
                put_run(target, task, run._replace(status=RunStatus.DONE)),
            )
            yield Step(f"task {task} at target {number}: done", after)
            if not state.budget.lapses:
                continue
            lapsed = put_run(target, task, run._replace(status=RunStatus.LAPSED))
            left = state.budget._replace(lapses=state.budget.lapses - 1)
            yield Step(
                f"task {task} at target {number}: lapsed",
                put_target(state, number, lapsed)._replace(budget=left),
            )


@action
def collect(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Bring a result to a home; the target may forget it then."""
    for number, instance in enumerate(state.instances):
        if not instance.alive or instance.record is not Record.RUNNING:
            continue
        homes = {number, *instance.line}
        for place, target in enumerate(state.targets):
            if not target.alive:
                continue
            for task, run in enumerate(target.runs):
                if run is None or run.status is not RunStatus.DONE:
                    continue
                if run.home not in homes or instance.sent[task] is not Sent.SENT:
                    continue
                known = put_sent(instance, task, Sent.DONE)
                after = put_instance(state, number, known)
                label = f"{number} gets result {task}"
                yield Step(label, after)
                runs = (*target.runs[:task], None, *target.runs[task + 1 :])
                bare = target._replace(runs=runs, exhaustive=False)
                yield Step(f"{label}, forgotten", put_target(after, place, bare))


@action
def answer(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Tell callers the final answer of a home."""
    for number, instance in enumerate(state.instances):
        if not instance.alive or instance.record is not Record.RUNNING:
            continue
        if all(sent is Sent.DONE for sent in instance.sent):
            settled = instance._replace(record=Record.COMPLETE)
            after = say(put_instance(state, number, settled), Record.COMPLETE)
            yield Step(f"{number} says complete", after)
        # A home that resumed a submission knows that a task of it began.
        if instance.line or instance.began or any(instance.sent):
            continue
        kept = Record.NOT_RUN if rules.not_run_binding else Record.NONE
        settled = instance._replace(record=kept)
        after = say(put_instance(state, number, settled), Record.NOT_RUN)
        yield Step(f"{number} says not run", after)
