"""Orders to targets, and what a leader learns from them."""

from collections.abc import Iterator

from cassiaturn.model.leases._registry import (
    Step,
    action,
    has_unasked,
    leads,
    put_tables,
    put_target,
    reaches,
    spend,
)
from cassiaturn.model.leases._state import (
    FOLLOWER_SILENT_TICKS,
    LEASE_OVER_TICKS,
    LEASE_TICKS,
    MEMBERS,
    Order,
    Rules,
    Run,
    State,
    Tables,
)


@action
def start(state: State, rules: Rules) -> Iterator[Step]:
    """Order a start wherever a leader may."""
    for leader in MEMBERS:
        if not leads(state, leader) or not may_start(state, leader, rules):
            continue
        for target in usable_targets(state, leader, rules):
            yield from _order(state, leader, target)


def usable_targets(state: State, leader: int, rules: Rules) -> list[int]:
    """Return the targets on which a leader may start something."""
    tables = state.tables[leader]
    other = state.members[1 - leader]
    is_awaited = other.alive and other.follows == leader
    if tables.member_silence >= FOLLOWER_SILENT_TICKS or not rules.confirm_new_targets:
        is_awaited = False
    usable = tables.heard & other.roster if is_awaited else tables.heard
    return sorted(usable)


def may_start(state: State, leader: int, rules: Rules) -> bool:
    """Return whether a leader may order a start of its job."""
    tables = state.tables[leader]
    if not tables.origins - tables.unheard or tables.run is not None:
        return False
    if tables.strays:
        return False
    if rules.confirm_first and not tables.confirmed:
        return False
    if tables.hold and not _knows_earlier_runs(tables, rules):
        return False
    return not (rules.survey_first and has_unasked(state, leader))


def _knows_earlier_runs(tables: Tables, rules: Rules) -> bool:
    """Return whether the lists that a leader has read contain all runs of its job."""
    if not tables.knows_targets:
        return False
    has_other_list = not tables.origins.isdisjoint(tables.other_lists)
    if has_other_list and rules.compare_lists and not tables.handed_over:
        return False
    needed = tables.directory
    if tables.earlier <= tables.covered or not rules.wait_for_other_leaders:
        needed -= tables.predecessor_left
    known = tables.covered | tables.same_targets
    is_covered = tables.earlier <= known or not rules.cover_earlier_leaders
    return is_covered and tables.heard >= needed


def decide(state: State, leader: int, target: int) -> tuple[Order, State]:
    """Return a leader's order to start its job, and the state with that run in it."""
    tables = state.tables[leader]
    order = Order(
        sender=leader,
        target=target,
        token=tables.token,
        number=tables.next_run,
        ticks_left=LEASE_TICKS,
        answered=True,
    )
    after = put_tables(
        state,
        leader,
        run=Run(target=target, number=order.number, settled=False),
        next_run=tables.next_run + 1,
        lease_left=LEASE_OVER_TICKS,
    )
    return order, after


def _order(state: State, leader: int, target: int) -> Iterator[Step]:
    order, after = decide(state, leader, target)
    label = f"member {leader} orders run {order.number} at target {target}"
    if reaches(state, leader, target):
        yield Step(label, after._replace(orders=state.orders | {order}))
    late = spend(after, "late")
    if late is not None:
        unanswered = order._replace(answered=False)
        yield Step(
            f"{label}, unanswered", late._replace(orders=state.orders | {unanswered})
        )


@action
def send_again(state: State, rules: Rules) -> Iterator[Step]:
    """Send a copy of a start that got no answer, with a lease of its own."""
    after = spend(state, "copies")
    if after is None:
        return
    for order in state.orders:
        run = state.tables[order.sender].run
        is_open = run is not None and run.number == order.number and not run.settled
        if order.answered or not is_open or not leads(state, order.sender):
            continue
        if not reaches(state, order.sender, order.target):
            continue
        copy = order._replace(ticks_left=LEASE_TICKS, answered=True, is_copy=True)
        if not rules.copies_name_their_run:
            copy = copy._replace(number=order.number + 1)
        tables = put_tables(after, order.sender, lease_left=LEASE_OVER_TICKS)
        yield Step(
            f"member {order.sender} sends run {order.number} again",
            tables._replace(orders=state.orders | {copy}),
        )


@action
def carry_out(state: State, rules: Rules) -> Iterator[Step]:
    """Carry a start out; one without an answer at any later time."""
    for order in state.orders:
        after = state._replace(orders=state.orders - {order})
        began, after = _begin(after, order, rules)
        if order.answered:
            after = _take_answer(after, order, began=began)
        word = "begins" if began else "is refused"
        yield Step(f"run {order.number} at target {order.target} {word}", after)


def _begin(state: State, order: Order, rules: Rules) -> tuple[bool, State]:
    target = state.targets[order.target]
    if rules.fence and order.token < target.token:
        return False, state
    if rules.start_by and order.ticks_left <= 0:
        return False, state
    state = put_target(state, order.target, token=max(target.token, order.token))
    if order.number <= target.blocked or target.run:
        return target.run == order.number, state
    lease = max(order.ticks_left, LEASE_TICKS if not rules.start_by else 1)
    return True, put_target(state, order.target, run=order.number, lease=lease)


def _take_answer(state: State, order: Order, *, began: bool) -> State:
    run = state.tables[order.sender].run
    if run is None or run.number != order.number:
        return state
    is_over = order.is_copy and order.token >= state.targets[order.target].token
    if began or is_over:
        # A copy that is refused comes after the run that an earlier one began.
        return put_tables(state, order.sender, run=run._replace(settled=True))
    heard = state.tables[order.sender].heard
    if order.token < state.targets[order.target].token:
        heard -= {order.target}
    return put_tables(state, order.sender, run=None, heard=heard)


@action
def settle_unknown(state: State, rules: Rules) -> Iterator[Step]:
    """Stop a run that got no answer or is not wanted."""
    for leader in MEMBERS:
        run = state.tables[leader].run
        if not leads(state, leader) or run is None:
            continue
        waits = any(
            order.sender == leader and order.number == run.number and order.answered
            for order in state.orders
        )
        if waits or not (run.stopping or not run.settled):
            continue
        if not rules.settle_unknown and not run.settled:
            yield Step(
                f"member {leader} takes run {run.number} for lost",
                put_tables(state, leader, run=None),
            )
        if reaches(state, leader, run.target):
            yield from _stop(state, leader, run)


@action
def stop_strays(state: State, rules: Rules) -> Iterator[Step]:
    """Stop a run that a target lists beside the one that the leader knows."""
    for leader in MEMBERS:
        for target in state.tables[leader].strays if leads(state, leader) else ():
            row = state.targets[target]
            token = state.tables[leader].token
            if not reaches(state, leader, target) or token < row.token:
                continue
            stopped = put_target(
                state, target, run=0, lease=0, blocked=max(row.blocked, row.run)
            )
            strays = state.tables[leader].strays - {target}
            yield Step(
                f"member {leader} stops another run at target {target}",
                put_tables(stopped, leader, strays=strays),
            )


def _stop(state: State, leader: int, run: Run) -> Iterator[Step]:
    target = state.targets[run.target]
    tables = state.tables[leader]
    if tables.token < target.token:
        yield Step(
            f"target {run.target} obeys somebody else than member {leader}",
            put_tables(state, leader, heard=tables.heard - {run.target}),
        )
        return
    state = put_target(
        state,
        run.target,
        token=tables.token,
        blocked=max(target.blocked, run.number),
        run=0 if target.run == run.number else target.run,
    )
    yield Step(
        f"member {leader} stops run {run.number}",
        put_tables(state, leader, run=None),
    )


@action
def ask(state: State, rules: Rules) -> Iterator[Step]:
    """Ask a target what runs there, perhaps before a start arrives."""
    for leader in MEMBERS:
        if not leads(state, leader):
            continue
        for target in sorted(state.tables[leader].directory):
            heard = target in state.tables[leader].heard
            expects = any(order.target == target for order in state.orders)
            if reaches(state, leader, target) and (expects or not heard):
                label = f"member {leader} asks target {target}"
                yield Step(label, take_list(state, leader, target, rules))


def take_list(state: State, leader: int, target: int, rules: Rules) -> State:
    """Return a state in which a target told a leader what runs there."""
    tables = state.tables[leader]
    row = state.targets[target]
    if rules.fence and tables.token < row.token:
        return put_tables(state, leader, heard=tables.heard - {target})
    run = tables.run
    changes: dict[str, object] = {"heard": tables.heard | {target}}
    has_runs = run is not None and run.target == target
    if has_runs and target in tables.heard:
        # A target that was not heard is only looked at: a renewal would keep alive
        # what the task's next run must not overlap.
        changes["lease_left"] = LEASE_OVER_TICKS
        if row.run:
            state = put_target(state, target, lease=LEASE_TICKS)
    elif row.run and run is None:
        changes["lease_left"] = LEASE_OVER_TICKS
    state = put_target(state, target, token=max(row.token, tables.token))
    is_stray = row.run and run is not None and run.target != target
    strays = tables.strays - {target}
    changes["strays"] = strays | {target} if is_stray else strays
    changes["run"] = _after_list(run, target, row.run, rules, bool(tables.origins))
    if row.run:
        changes["next_run"] = max(tables.next_run, row.run + 1)
    return put_tables(state, leader, **changes)


def _after_list(
    run: Run | None, target: int, listed: int, rules: Rules, has_job: bool
) -> Run | None:
    if run is None:
        if not listed:
            return None
        # Adopted, or the run of a job that is unknown here and will be stopped.
        return Run(target=target, number=listed, settled=True, stopping=not has_job)
    if run.target != target:
        return run
    if listed == run.number:
        return run._replace(settled=True)
    proves = run.settled or not rules.list_is_no_proof
    return None if proves else run
