"""Callers, desks and leaders: submissions, their ends, and claims."""

from collections.abc import Iterator

from cassiaturn.model.leases._registry import (
    Step,
    action,
    acts,
    hear_each_other,
    leads,
    put_member,
    put_tables,
    put_target,
    reaches,
    spend,
)
from cassiaturn.model.leases._state import (
    HOLD_TICKS,
    LEASE_OVER_TICKS,
    MEMBERS,
    NOBODY,
    RESUBMIT_TICKS,
    TARGETS,
    Rules,
    State,
    Tables,
)


@action
def submit(state: State, rules: Rules) -> Iterator[Step]:
    """Let the caller submit its job at any member, again after a pause."""
    if state.caller_at != NOBODY or state.caller_wait:
        return
    after = spend(state, "submits")
    if after is None:
        return
    for member in MEMBERS:
        if acts(state, member):
            taken = put_member(
                after,
                member,
                has_job=True,
                passed_to=NOBODY,
                passed=frozenset(),
                confirmed=False,
            )
            yield Step(
                f"the caller submits to member {member}",
                taken._replace(caller_at=member),
            )


@action
def pass_on(state: State, rules: Rules) -> Iterator[Step]:
    """Pass a caller's job on to the leader that it follows."""
    for number in MEMBERS:
        if can_pass_on(state, number):
            leader = state.members[number].follows
            inherited = state.members[number].confirmed
            after = _take(state, leader, number, rules, inherited=inherited)
            passed = state.members[number].passed | {state.tables[leader].token}
            after = put_member(after, number, passed_to=leader, passed=passed)
            if number == leader:
                after = _confirm(after, number, leader)
            yield Step(f"member {number} passes the job on to {leader}", after)


@action
def confirm(state: State, rules: Rules) -> Iterator[Step]:
    """Let a member confirm a job that its leader has taken in."""
    for number in MEMBERS:
        member = state.members[number]
        leader = member.passed_to
        if leader == NOBODY or not acts(state, number) or not leads(state, leader):
            continue
        tables = state.tables[leader]
        if number not in tables.origins or tables.confirmed:
            continue
        if not hear_each_other(state, number, leader):
            continue
        yield Step(f"member {number} confirms the job", _confirm(state, number, leader))
        if not member.confirmed:
            yield Step(
                f"member {number} confirms the job, unheard",
                put_member(state, number, confirmed=True),
            )


def _confirm(state: State, number: int, leader: int) -> State:
    state = put_member(state, number, confirmed=True)
    return put_tables(state, leader, confirmed=True)


def can_pass_on(state: State, number: int) -> bool:
    """Return whether a member has a job that its leader does not know of."""
    member = state.members[number]
    leader = member.follows
    if not (acts(state, number) and member.has_job) or member.passed_to == leader:
        return False
    return leads(state, leader) and hear_each_other(state, number, leader)


def _take(
    state: State, leader: int, origin: int, rules: Rules, *, inherited: bool
) -> State:
    tables = state.tables[leader]
    earlier = state.members[origin].passed if inherited else frozenset()
    hold = HOLD_TICKS if rules.hold_outlasts_silence else LEASE_OVER_TICKS
    if not (inherited and rules.hold_inherited):
        hold = 0
    if tables.origins and rules.join_by_id:
        return put_tables(
            state,
            leader,
            origins=tables.origins | {origin},
            earlier=tables.earlier | earlier,
            hold=tables.hold if earlier <= tables.covered else hold,
        )
    run = tables.run
    if not rules.join_by_id:
        run = None
    elif run is not None and inherited:
        # Listed by a target before its job came: the job takes it over.
        run = run._replace(stopping=False)
    return put_tables(
        state,
        leader,
        origins=frozenset({origin}),
        earlier=earlier,
        hold=hold,
        run=run,
        confirmed=inherited or run is not None,
    )


@action
def notice_broken_connection(state: State, rules: Rules) -> Iterator[Step]:
    """Let a member that woke find its caller's connection broken."""
    for number in MEMBERS:
        if acts(state, number) and state.members[number].connection_broken:
            yield Step(f"member {number} cancels", cancel(state, number))


def cancel(state: State, number: int) -> State:
    """Return a state in which a member's caller does not wait any more."""
    leader = state.members[number].passed_to
    state = put_member(
        state,
        number,
        has_job=False,
        passed_to=NOBODY,
        passed=frozenset(),
        confirmed=False,
        connection_broken=False,
    )
    if leader != NOBODY and hear_each_other(state, number, leader):
        return drop(state, leader, number)
    return state


def refuse(state: State, leader: int) -> State:
    """Return a state in which a leader refused its own caller's job, if it waits."""
    if state.tables[leader].run is not None or not state.members[leader].has_job:
        return state
    if state.caller_at == leader:
        state = state._replace(caller_at=NOBODY, caller_wait=RESUBMIT_TICKS)
    return cancel(state, leader)


def drop(state: State, leader: int, origin: int) -> State:
    """Return a state in which a leader serves an origin no more."""
    tables = state.tables[leader]
    if not tables.token or origin not in tables.origins:
        return state
    origins = tables.origins - {origin}
    run = tables.run
    if not origins and run is not None:
        run = run._replace(stopping=True)
    return put_tables(state, leader, origins=origins, run=run)


@action
def claim(state: State, rules: Rules) -> Iterator[Step]:
    """Let a member that does not reach its leader claim the leadership."""
    for number in MEMBERS:
        after = spend(state, "claims")
        if after is None or not acts(state, number):
            continue
        followed = state.members[number].follows
        if state.tables[number].token or hear_each_other(state, number, followed):
            continue
        term = state.members[number].known_term + 1
        # Unique: the salt of a token tells claimants of one term apart.
        token = 2 * term + number
        tables = Tables(
            token=token,
            next_run=term * 8,
            directory=state.members[number].roster,
            covered=frozenset({token, state.members[number].roster_token}),
        )
        after = after._replace(
            tables=tuple(
                tables if row == number else old for row, old in enumerate(after.tables)
            )
        )
        yield Step(
            f"member {number} claims term {term}",
            put_member(
                after, number, follows=number, known_term=term, roster_token=token
            ),
        )


@action
def change_leader(state: State, rules: Rules) -> Iterator[Step]:
    """Let another process take over from a leader that hands over as planned."""
    for number in MEMBERS:
        after = spend(state, "changes")
        if after is None or not leads(state, number):
            continue
        before = state.tables[number]
        term = max(member.known_term for member in state.members) + 1
        token = 2 * term + number
        successor = Tables(
            token=token,
            next_run=term * 8,
            directory=_told_directory(after, number),
            handed_over=rules.confirm_new_targets,
            predecessor_left=_without_runs(before, rules),
            covered=frozenset({token, before.token}),
        )
        after = put_tables(after, number, **successor._asdict())
        for member in MEMBERS:
            if hear_each_other(state, member, number):
                after = _redirect(after, member, number, term=term, token=token)
        yield Step(f"the leader {number} is replaced as planned", after)


def _told_directory(state: State, leader: int) -> frozenset[int]:
    """Return the targets that the next leader has been told of."""
    directory = state.tables[leader].directory
    for number in MEMBERS:
        if number != leader and state.members[number].follows == leader:
            directory &= state.members[number].roster
    return directory


def _without_runs(tables: Tables, rules: Rules) -> frozenset[int]:
    """Return the targets that a leader does not hear, and that have no run of its."""
    unheard = tables.directory - tables.heard
    if tables.run is None or not rules.wait_for_silent_targets:
        return unheard
    return unheard - {tables.run.target}


def _redirect(
    state: State, member: int, leader: int, *, term: int, token: int
) -> State:
    """Return a state in which a member of a leader follows its successor."""
    if state.members[member].follows != leader:
        return state
    state = _compare_lists(state, member, leader)
    return put_member(
        state,
        member,
        known_term=term,
        passed_to=NOBODY,
        roster=state.tables[leader].directory,
        roster_token=token,
    )


@action
def lapse(state: State, rules: Rules) -> Iterator[Step]:
    """Let the directory entry of a target lapse that its leader does not reach."""
    for leader in MEMBERS:
        after = spend(state, "lapses")
        if after is None or not leads(state, leader):
            continue
        tables = state.tables[leader]
        for target in sorted(tables.directory - tables.heard):
            has_run = tables.run is not None and tables.run.target == target
            if has_run or reaches(state, leader, target):
                continue
            after = put_tables(
                after,
                leader,
                directory=tables.directory - {target},
                strays=tables.strays - {target},
                knows_targets=False,
            )
            yield Step(
                f"target {target} leaves the directory of {leader}",
                _update_rosters(after, leader),
            )


@action
def list_again(state: State, rules: Rules) -> Iterator[Step]:
    """Let a target that a leader reaches return to its directory."""
    for leader in MEMBERS:
        tables = state.tables[leader]
        if not leads(state, leader) or state.members_cut:
            continue
        for target in TARGETS:
            if target in tables.directory or not reaches(state, leader, target):
                continue
            after = put_tables(state, leader, directory=tables.directory | {target})
            yield Step(
                f"target {target} returns to the directory of {leader}",
                _update_rosters(after, leader),
            )


@action
def add_target(state: State, rules: Rules) -> Iterator[Step]:
    """Let a leader learn of a target that is new in the directory."""
    for leader in MEMBERS:
        after = spend(state, "additions")
        if after is None or not leads(state, leader):
            continue
        directory = state.tables[leader].directory
        for target in set(TARGETS) - directory:
            yield Step(
                f"member {leader} learns of target {target}",
                put_tables(after, leader, directory=directory | {target}),
            )


@action
def tell_targets(state: State, rules: Rules) -> Iterator[Step]:
    """Tell a follower of the targets that its leader has learned of."""
    for number in MEMBERS:
        leader = state.members[number].follows
        if number == leader or not leads(state, leader):
            continue
        directory = state.tables[leader].directory
        is_lacking = not directory <= state.members[number].roster
        if is_lacking and hear_each_other(state, number, leader):
            yield Step(
                f"member {number} is told of the targets of {leader}",
                put_member(state, number, roster=directory),
            )


def _update_rosters(state: State, leader: int) -> State:
    for member in MEMBERS:
        follows = state.members[member].follows == leader
        if follows and hear_each_other(state, member, leader):
            roster = state.tables[leader].directory
            state = put_member(state, member, roster=roster)
    return state


@action
def hear_of_leader(state: State, rules: Rules) -> Iterator[Step]:
    """Let a member hear of a later leader, and follow it."""
    for number in MEMBERS:
        leader = later_leader(state, number)
        if leader != NOBODY:
            term = state.members[leader].known_term
            after = put_member(
                _compare_lists(state, number, leader),
                number,
                follows=leader,
                known_term=term,
                roster=state.tables[leader].directory,
                roster_token=state.tables[leader].token,
            )
            after = _compare_targets(after, number, leader)
            label = f"member {number} follows {leader}"
            late = spend(after, "late_stops")
            if late is not None and rules.stop_leftovers:
                resigned = put_tables(late, number, **_RESIGNED)
                yield Step(f"{label}, and stops nothing yet", resigned)
            if rules.stop_leftovers:
                after = _stop_leftover(after, number)
            yield Step(label, put_tables(after, number, **_RESIGNED))


def _compare_lists(state: State, member: int, leader: int) -> State:
    """Return a state in which a leader knows whether a member knew other targets."""
    tables = state.tables[leader]
    roster = state.members[member].roster
    if state.tables[member].token:
        roster = state.tables[member].directory
    if member == leader or roster <= tables.directory:
        return state
    return put_tables(state, leader, other_lists=tables.other_lists | {member})


def _compare_targets(state: State, resigned: int, leader: int) -> State:
    """Return a state in which a leader knows whether another had the same targets."""
    own, other = state.tables[leader], state.tables[resigned]
    if not other.token or own.directory != other.directory:
        return state
    same_targets = own.same_targets | {other.token}
    return put_tables(state, leader, same_targets=same_targets)


def _stop_leftover(state: State, leader: int) -> State:
    """Return a state in which a leader that steps down stopped what it left."""
    tables = state.tables[leader]
    run = tables.run
    if run is None or not reaches(state, leader, run.target):
        return state
    target = state.targets[run.target]
    if target.token > tables.token or target.run != run.number:
        return state
    blocked = max(target.blocked, run.number)
    return put_target(state, run.target, run=0, lease=0, blocked=blocked)


def later_leader(state: State, number: int) -> int:
    """Return a leader later than the one that a member follows, if it hears one."""
    for leader in MEMBERS:
        if number == leader or not leads(state, leader):
            continue
        later = state.tables[leader].token > _token_followed(state, number)
        if later and acts(state, number) and hear_each_other(state, number, leader):
            return leader
    return NOBODY


_RESIGNED: dict[str, object] = Tables()._asdict()


def _token_followed(state: State, number: int) -> int:
    follows = state.members[number].follows
    own = state.tables[number].token
    return max(own, state.tables[follows].token if follows != number else 0)


@action
def break_connection(state: State, rules: Rules) -> Iterator[Step]:
    """Break the caller's connection; it comes back after its pause."""
    number = state.caller_at
    after = spend(state, "resets")
    if number == NOBODY or after is None:
        return
    after = after._replace(caller_at=NOBODY, caller_wait=RESUBMIT_TICKS)
    if acts(state, number):
        after = cancel(after, number)
    else:
        after = put_member(after, number, connection_broken=True)
    yield Step(f"the caller's connection to member {number} breaks", after)
