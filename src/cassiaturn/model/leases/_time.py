"""A tick of time, and the faults that take long."""

from collections.abc import Iterator

from cassiaturn.model.leases._members import (
    can_pass_on,
    drop,
    later_leader,
    refuse,
)
from cassiaturn.model.leases._registry import (
    Step,
    action,
    acts,
    has_unasked,
    hear_each_other,
    leads,
    put_member,
    put_tables,
    put_target,
    reaches,
    spend,
)
from cassiaturn.model.leases._state import (
    FOLLOWER_SILENT_TICKS,
    LEASE_TICKS,
    MEMBERS,
    NOBODY,
    PAUSE_TICKS,
    RESUBMIT_TICKS,
    TARGETS,
    Member,
    Rules,
    State,
    Tables,
)
from cassiaturn.model.leases._targets import (
    decide,
    may_start,
    take_list,
    usable_targets,
)


@action
def tick(state: State, rules: Rules) -> Iterator[Step]:
    """Let a quarter of a second pass, once all that takes no time has happened."""
    if _is_busy(state):
        return
    after = state
    for target in TARGETS:
        after = _age_target(after, target, rules)
    for member in MEMBERS:
        after = _age_member(after, member, rules)
    orders = frozenset(
        order._replace(ticks_left=max(0, order.ticks_left - 1))
        for order in after.orders
        if order.ticks_left or not rules.start_by
    )
    wait = max(0, after.caller_wait - 1)
    yield Step("time passes", after._replace(orders=orders, caller_wait=wait))


def _is_busy(state: State) -> bool:
    """Return whether something is left that happens within milliseconds."""
    if any(order.answered for order in state.orders):
        return True
    for number in MEMBERS:
        if not acts(state, number):
            continue
        if state.members[number].connection_broken or has_unasked(state, number):
            return True
        if can_pass_on(state, number) or later_leader(state, number) != NOBODY:
            return True
        run = state.tables[number].run
        if run is None or (run.settled and not run.stopping):
            continue
        # Its stop is answered, or its target turns out to obey somebody else.
        is_heard = run.target in state.tables[number].heard
        if is_heard and reaches(state, number, run.target):
            return True
    return False


def _age_target(state: State, number: int, rules: Rules) -> State:
    target = state.targets[number]
    if not target.run or not rules.lease:
        return state
    lease = target.lease - 1
    if lease > 0:
        return put_target(state, number, lease=lease)
    blocked = max(target.blocked, target.run)
    return put_target(state, number, lease=0, run=0, blocked=blocked)


def _age_member(state: State, number: int, rules: Rules) -> State:
    if state.members[number].frozen:
        return _age_frozen(state, number)
    if not leads(state, number):
        return state
    for target in TARGETS:
        is_heard = target in state.tables[number].heard
        if is_heard and reaches(state, number, target):
            state = take_list(state, number, target, rules)
    tables = state.tables[number]
    lease_left = max(0, tables.lease_left - 1)
    run = tables.run
    if run is not None and run.target not in tables.heard:
        is_over = lease_left == 0 or not rules.wait_for_lease
        run = None if is_over else run
    state = put_tables(
        state,
        number,
        lease_left=lease_left if run is not None else 0,
        run=run,
        hold=max(0, tables.hold - 1),
    )
    return _age_silence(state, number, rules)


def _age_frozen(state: State, number: int) -> State:
    ticks = min(state.members[number].frozen_ticks + 1, PAUSE_TICKS)
    state = put_member(state, number, frozen_ticks=ticks)
    order = state.tables[number].decided
    if order is None:
        return state
    order = order._replace(ticks_left=max(0, order.ticks_left - 1))
    return put_tables(state, number, decided=order)


def _age_silence(state: State, leader: int, rules: Rules) -> State:
    other = 1 - leader
    follows = state.members[other].follows == leader
    if follows and hear_each_other(state, leader, other):
        return put_tables(state, leader, member_silence=0)
    silence = min(state.tables[leader].member_silence + 1, FOLLOWER_SILENT_TICKS)
    state = put_tables(state, leader, member_silence=silence)
    if silence >= FOLLOWER_SILENT_TICKS and rules.drop_silent_members:
        return drop(state, leader, other)
    return state


@action
def freeze(state: State, rules: Rules) -> Iterator[Step]:
    """Freeze a member."""
    for number in MEMBERS:
        after = spend(state, "freezes")
        if after is None or not acts(state, number):
            continue
        frozen = put_member(after, number, frozen=True)
        yield Step(f"member {number} freezes", frozen)
        if leads(state, number) and may_start(state, number, rules):
            for target in usable_targets(state, number, rules):
                order, decided = decide(frozen, number, target)
                label = f"member {number} freezes before it sends run {order.number}"
                yield Step(label, put_tables(decided, number, decided=order))


@action
def wake(state: State, rules: Rules) -> Iterator[Step]:
    """Let a frozen member go on as if no time had passed."""
    for number in MEMBERS:
        if state.members[number].alive and state.members[number].frozen:
            yield Step(f"member {number} wakes", _wake(state, number, rules))


def _wake(state: State, number: int, rules: Rules) -> State:
    was_paused = state.members[number].frozen_ticks >= PAUSE_TICKS
    order = state.tables[number].decided
    state = put_member(state, number, frozen=False, frozen_ticks=0)
    state = put_tables(state, number, decided=None)
    if was_paused and rules.hear_after_pause and state.tables[number].token:
        state = put_tables(state, number, unheard=frozenset(MEMBERS))
    if order is None or not reaches(state, number, order.target):
        return state
    if not rules.start_by_from_decision:
        order = order._replace(ticks_left=LEASE_TICKS)
    return state._replace(orders=state.orders | {order})


@action
def answer_after_pause(state: State, rules: Rules) -> Iterator[Step]:
    """Answer a leader that stood still, or let it end what nobody answers for."""
    for leader in MEMBERS:
        if not leads(state, leader) or not state.tables[leader].unheard:
            continue
        other = 1 - leader
        if not hear_each_other(state, leader, other):
            after = put_tables(state, leader, unheard=frozenset())
            after = refuse(drop(after, leader, other), leader)
            yield Step(f"member {leader} hears nobody after its pause", after)
        elif state.members[other].follows == leader:
            after = put_tables(state, leader, unheard=frozenset())
            yield Step(f"member {other} answers {leader} after its pause", after)


@action
def kill(state: State, rules: Rules) -> Iterator[Step]:
    """End a member's process, and its caller's connection."""
    for number in MEMBERS:
        after = spend(state, "kills")
        if after is None or not state.members[number].alive:
            continue
        after = put_member(after, number, **Member(alive=False)._asdict())
        after = put_tables(after, number, **Tables()._asdict())
        if state.caller_at == number:
            after = after._replace(caller_at=NOBODY, caller_wait=RESUBMIT_TICKS)
        yield Step(f"member {number} is killed", after)


@action
def cut_members(state: State, rules: Rules) -> Iterator[Step]:
    """Cut the members off from each other, and end the cut."""
    if state.members_cut:
        yield Step("the members' cut heals", state._replace(members_cut=False))
        return
    after = spend(state, "cuts")
    if after is not None:
        yield Step("the members are cut off", after._replace(members_cut=True))


@action
def cut_zone(state: State, rules: Rules) -> Iterator[Step]:
    """Cut each member and its target off from the other's, and end the cut."""
    links = frozenset((member, 1 - member) for member in MEMBERS)
    if state.members_cut and state.links_cut >= links:
        healed = state.links_cut - links
        yield Step(
            "the zones' cut heals", state._replace(members_cut=False, links_cut=healed)
        )
        return
    after = spend(state, "zone_cuts")
    if after is None or state.members_cut:
        return
    for member, target in links:
        heard = after.tables[member].heard - {target}
        after = put_tables(after, member, heard=heard)
    yield Step(
        "the zones are cut off",
        after._replace(members_cut=True, links_cut=state.links_cut | links),
    )


@action
def cut_target(state: State, rules: Rules) -> Iterator[Step]:
    """Cut a member off from a target, and end the cut."""
    for link in state.links_cut:
        member, target = link
        yield Step(
            f"member {member} reaches target {target} again",
            state._replace(links_cut=state.links_cut - {link}),
        )
    after = spend(state, "target_cuts")
    if after is None:
        return
    for member in MEMBERS:
        for target in TARGETS:
            if (member, target) not in state.links_cut and leads(state, member):
                yield from _cut(after, member, target)


def _cut(state: State, member: int, target: int) -> Iterator[Step]:
    heard = state.tables[member].heard - {target}
    after = put_tables(state, member, heard=heard)
    yield Step(
        f"member {member} is cut off from target {target}",
        after._replace(links_cut=state.links_cut | {(member, target)}),
    )
