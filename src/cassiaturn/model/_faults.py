"""What goes wrong in a state, and how a successor recovers from it."""

from collections.abc import Iterator, Sequence

from cassiaturn.model._actions import (
    Step,
    action,
    put_instance,
    put_sent,
    put_target,
    say,
)
from cassiaturn.model._state import (
    NOBODY,
    Instance,
    Record,
    Rules,
    RunStatus,
    Scenario,
    Seen,
    Sent,
    State,
)


@action
def kill(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """End an instance with all that it knew."""
    if not state.budget.kills:
        return
    budget = state.budget._replace(kills=state.budget.kills - 1)
    initial = scenario.initial().instances[0]
    for number, instance in enumerate(state.instances):
        if not instance.alive:
            continue
        after = put_instance(state, number, initial._replace(alive=False))
        yield Step(f"{number} dies", after._replace(budget=budget))


@action
def lose_target(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """End a target, with what runs there and what it could tell."""
    if not state.budget.target_losses:
        return
    budget = state.budget._replace(target_losses=state.budget.target_losses - 1)
    for number, target in enumerate(state.targets):
        if not target.alive:
            continue
        runs = tuple(
            None if run is None else run._replace(status=RunStatus.LAPSED)
            for run in target.runs
        )
        after = put_target(state, number, target._replace(alive=False, runs=runs))
        yield Step(f"target {number} dies", after._replace(budget=budget))


@action
def pass_time(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Make starts on their way late."""
    if not state.budget.delays:
        return
    late = frozenset(flight._replace(late=True) for flight in state.flights)
    if late == state.flights:
        return
    budget = state.budget._replace(delays=state.budget.delays - 1)
    yield Step("start-by times pass", state._replace(flights=late, budget=budget))


@action
def reconnect(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Break the stream of a home to a target, and open a new one.

    The target lists what it began; the home takes all else for never begun.
    """
    if not state.budget.reconnects:
        return
    budget = state.budget._replace(reconnects=state.budget.reconnects - 1)
    for flight in state.flights:
        home = state.instances[flight.home]
        if not home.alive or home.record is not Record.RUNNING:
            continue
        told = put_sent(home, flight.task, Sent.UNSENT)
        after = put_instance(state, flight.home, told)._replace(budget=budget)
        if rules.one_stream:
            after = after._replace(flights=state.flights - {flight})
        yield Step(f"{flight.home} reconnects to target {flight.target}", after)


@action
def forget(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """End the retention of a settled row."""
    if not state.budget.forgets:
        return
    budget = state.budget._replace(forgets=state.budget.forgets - 1)
    for number, instance in enumerate(state.instances):
        if not instance.alive or instance.record <= Record.RUNNING:
            continue
        bare = instance._replace(
            record=Record.NONE,
            sent=(Sent.UNSENT,) * scenario.tasks,
            forgot=True,
        )
        after = put_instance(state, number, bare)
        yield Step(f"{number} forgets", after._replace(budget=budget))


@action
def take_over(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Let an instance that was given the submission succeed its home.

    The home may be alive: it is suspected wrongly, paused, or cut off.
    """
    line = _line(state, scenario)
    if not line:
        return
    for number, instance in enumerate(state.instances):
        if not instance.alive or not instance.asked or instance.claim_lost:
            continue
        if number in line or instance.line or instance.record:
            continue
        after = put_instance(state, number, instance._replace(line=line))
        if rules.takeover_row:
            rows = list(state.successors)
            rows[line[-1]] = number
            after = after._replace(successors=tuple(rows))
        yield Step(f"{number} succeeds {line[-1]}", after)


@action
def fence(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Let a target answer a successor's fence."""
    for number, instance in enumerate(state.instances):
        if not instance.alive or not instance.line or instance.record:
            continue
        for place, target in enumerate(state.targets):
            if not target.alive or instance.seen[place] is not None:
                continue
            homes = frozenset(instance.line)
            begun = tuple(run is not None and run.home in homes for run in target.runs)
            seen = list(instance.seen)
            seen[place] = Seen(begun, target.exhaustive)
            after = put_target(
                state, place, target._replace(fenced=target.fenced | homes)
            )
            after = put_instance(after, number, instance._replace(seen=tuple(seen)))
            yield Step(f"{number} fences target {place}", after)


@action
def recover(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Let a successor decide the submission by what the targets told."""
    for number, instance in enumerate(state.instances):
        if not instance.alive or not instance.line or instance.record:
            continue
        if rules.expiry and instance.forgot:
            continue
        tasks = range(scenario.tasks)
        decided = [_decide(state, instance, task, scenario, rules) for task in tasks]
        any_begun = any(any(seen.begun) for seen in instance.seen if seen is not None)
        if not any_begun and rules.unbegun_not_resumed:
            if _all_denied(instance, rules):
                record = Record.NOT_RUN
                settled = instance._replace(record=record, asked=False)
                after = say(put_instance(state, number, settled), record)
                yield Step(f"{number} says not run for {instance.line}", after)
            continue
        if Record.FAILED in decided:
            settled = instance._replace(record=Record.FAILED, asked=False)
            after = say(put_instance(state, number, settled), Record.FAILED)
            yield Step(f"{number} says failed for {instance.line}", after)
        elif None not in decided:
            sent = tuple(one for one in decided if isinstance(one, Sent))
            resumed = instance._replace(record=Record.RUNNING, sent=sent, asked=False)
            after = put_instance(state, number, resumed)
            yield Step(f"{number} resumes for {instance.line}", after)


@action
def run_again(state: State, scenario: Scenario, rules: Rules) -> Iterator[Step]:
    """Let a home start a repeatable task anew whose run it knows to be over."""
    if not scenario.repeatable:
        return
    for number, instance in enumerate(state.instances):
        if not instance.alive or instance.record is not Record.RUNNING:
            continue
        homes = {number, *instance.line}
        for target in state.targets:
            for task, run in enumerate(target.runs):
                if run is None or run.status is not RunStatus.LAPSED:
                    continue
                if run.home not in homes or instance.sent[task] is not Sent.SENT:
                    continue
                if _may_go_on(state, homes, task):
                    continue
                if run.home != number and not _ruled_out(state, instance):
                    continue
                known = put_sent(instance, task, Sent.UNSENT)
                known = known._replace(began=True)
                yield Step(
                    f"{number} knows task {task} to be over",
                    put_instance(state, number, known),
                )


def _may_go_on(state: State, homes: set[int], task: int) -> bool:
    if any(one.task == task and one.home in homes for one in state.flights):
        return True
    runs = (target.runs[task] for target in state.targets)
    return any(
        run is not None and run.home in homes and run.status is not RunStatus.LAPSED
        for run in runs
    )


def _line(state: State, scenario: Scenario) -> tuple[int, ...]:
    """Return the submission's home and its successors by the takeover rows."""
    if scenario.bare_id:
        home = NOBODY if state.claim is None else state.claim.home
    else:
        home = 0
    line = []
    while home != NOBODY and home not in line:
        line.append(home)
        home = state.successors[home]
    return tuple(line)


def _all_denied(instance: Instance, rules: Rules) -> bool:
    return _all_told(instance, rules) and not any(
        seen is not None and any(seen.begun) for seen in instance.seen
    )


def _all_told(instance: Instance, rules: Rules) -> bool:
    return all(
        not rules.silent_targets_wait if seen is None else seen.exhaustive
        for seen in instance.seen
    )


def _decide(
    state: State, instance: Instance, task: int, scenario: Scenario, rules: Rules
) -> Sent | Record | None:
    """Decide a task as the truth table of ``cassiaturn.recovery`` does.

    :returns: UNSENT to run it, SENT to await a run, FAILED, or None: unknown.
    """
    for place, seen in enumerate(instance.seen):
        if seen is None or not seen.begun[task]:
            continue
        target = state.targets[place]
        run = target.runs[task]
        if run is None or (not target.alive and not scenario.repeatable):
            return None
        if target.alive and run.status is not RunStatus.LAPSED:
            return Sent.SENT
        if not scenario.repeatable:
            return Record.FAILED
    if scenario.repeatable:
        return Sent.UNSENT if _ruled_out(state, instance) else None
    return Sent.UNSENT if _all_told(instance, rules) else None


def _ruled_out(state: State, instance: Instance) -> bool:
    """Whether no dead home can start a task any more, or have one running.

    The home may be alive, cut off from the successor, and reach a target that
    the successor does not: it would start there what it saw lapse.
    """
    silent = (
        target.alive and seen is None
        for target, seen in zip(state.targets, instance.seen, strict=True)
    )
    return not any(silent) or _over(state, instance.line)


def _over(state: State, line: Sequence[int]) -> bool:
    """Whether start-by times and leases have ended every run of dead homes."""
    if any(state.instances[home].alive for home in line):
        return False
    if any(one.home in line and not one.late for one in state.flights):
        return False
    return not any(
        run is not None and run.home in line and run.status is RunStatus.RUNNING
        for target in state.targets
        for run in target.runs
    )
