"""States of the model: one task, its caller, members, and targets with leases.

Unlike the model of tickets this one has a clock, since leases and silences are all
that keeps a task from running twice. Time moves in ticks of a quarter of a second;
what may take long is rounded up to ticks, what has to be long enough is rounded
down, so that a promise which holds here holds with the real figures too.
"""

from typing import NamedTuple

LEASE_TICKS = 4
"""Longest lease of a target, 1.0 s."""

LEASE_OVER_TICKS = 5
"""When a leader counts a lease as run out: 1.1 s, rounded up."""

FOLLOWER_SILENT_TICKS = 3
"""Silence after which a leader drops a member: 0.75 s."""

HOLD_TICKS = FOLLOWER_SILENT_TICKS + LEASE_OVER_TICKS
"""How long an inherited job waits for targets that are not heard: until its former
leader has dropped it, and the lease that it may have given just before is over."""

RESUBMIT_TICKS = 5
"""How long a caller waits before it submits again: 1.3 s, rounded down."""

PAUSE_TICKS = 2
"""When a leader that wakes knows for certain that it stood still: 0.3 s, rounded up."""

NOBODY = -1
"""Stands for no member and no target."""

MEMBERS = (0, 1)
TARGETS = (0, 1)


class Rules(NamedTuple):
    """The safeguards; a mutation turns one off."""

    fence: bool = True
    """A target refuses orders with a lower token than it has seen."""

    lease: bool = True
    """What runs at a target ends when nobody renews its lease."""

    start_by: bool = True
    """A start carried out after the end of its lease is refused."""

    wait_for_lease: bool = True
    """Runs at a target that does not answer count until its lease is over."""

    settle_unknown: bool = True
    """A start without an answer is stopped before the task starts elsewhere."""

    list_is_no_proof: bool = True
    """A list that leaves out a start which was never answered proves nothing."""

    drop_silent_members: bool = True
    """A leader ends the jobs of members that it does not hear."""

    hold_inherited: bool = True
    """A job that an earlier leader had waits until every target is heard, or until
    the leases are over."""

    hold_outlasts_silence: bool = True
    """That wait also covers the time in which the earlier leader, cut off, goes on."""

    join_by_id: bool = True
    """A second submission of a job that is open joins it."""

    stop_leftovers: bool = True
    """A superseded leader stops what runs where its successor was not heard yet."""

    copies_name_their_run: bool = True
    """A copy of a start has its run's number, which a target starts once."""

    confirm_first: bool = True
    """A leader starts nothing of a new job before its member has confirmed it, and the
    member tells a later leader that a job which it has not confirmed never began."""

    survey_first: bool = True
    """A new leader starts nothing before every target that answers was heard."""

    hear_after_pause: bool = True
    """A leader that stood still starts a member's job only once that member has
    answered it since."""

    start_by_from_decision: bool = True
    """The time by which a start must be carried out counts from the decision, not from
    the sending."""

    wait_for_silent_targets: bool = True
    """A successor waits for a target that its predecessor does not hear any more, but
    has a run on."""

    wait_for_other_leaders: bool = True
    """A target on which the predecessor has no runs counts for the jobs of another
    leader that stepped down."""

    cover_earlier_leaders: bool = True
    """The lists of all targets in a leader's directory stand for the runs of its
    predecessor only; a job that another leader had waits for the leases."""

    confirm_new_targets: bool = True
    """A leader starts nothing on a new target before each member that follows it has
    the target in its list."""

    compare_lists: bool = True
    """A job waits for the leases if its member knew a target that its leader lacks."""


class Budget(NamedTuple):
    """How often each fault may still happen."""

    kills: int = 0
    """Processes of members that end."""

    freezes: int = 0
    """Members that stand still, for as long as they like."""

    cuts: int = 0
    """Times that the members are cut off from each other."""

    target_cuts: int = 0
    """Times that a member is cut off from a target."""

    resets: int = 0
    """Connections of the caller that break."""

    late: int = 0
    """Orders without an answer, carried out at any time."""

    copies: int = 0
    """Starts that are sent again for want of an answer."""

    claims: int = 1
    """Leaderships that members claim, for whatever reason."""

    zone_cuts: int = 0
    """Times that each member and one target are cut off from the others."""

    changes: int = 0
    """Planned changes of a leader to another process that reaches the same."""

    lapses: int = 0
    """Directory entries of unreachable targets that lapse."""

    additions: int = 0
    """Times that a leader learns of a target that is new in the directory."""

    late_stops: int = 0
    """Superseded leaders that do not stop what they left before its lease ends."""

    submits: int = 2
    """Submissions of the job by its caller."""


class Target(NamedTuple):
    """What a target knows, and what runs there."""

    token: int = 0
    """Highest fencing token seen."""

    run: int = 0
    """Number of the run there; 0: none."""

    lease: int = 0
    """Ticks until what runs there ends."""

    blocked: int = 0
    """Highest number stopped or ended there: no start up to it begins."""


class Order(NamedTuple):
    """A start that is on its way."""

    sender: int
    """Member that sent it."""

    target: int
    """Where to."""

    token: int
    """Token of its sender."""

    number: int
    """Number of the run."""

    ticks_left: int
    """Until the end of its lease on the target's clock."""

    answered: bool
    """Whether its answer will reach the sender."""

    is_copy: bool = False
    """Whether it repeats one that got no answer."""


class Run(NamedTuple):
    """A run as a leader knows it."""

    target: int
    """Where."""

    number: int
    """Its number."""

    settled: bool
    """Whether the target has answered about it."""

    stopping: bool = False
    """Whether it is not wanted any more."""


class Tables(NamedTuple):
    """What a member knows as the leader."""

    token: int = 0
    """Its token; 0: it does not lead."""

    origins: frozenset[int] = frozenset()
    """Members whose caller waits for the job; empty: there is no job."""

    hold: int = 0
    """Ticks for which an inherited job may not start."""

    confirmed: bool = False
    """Whether the job may be started, as far as its member goes."""

    run: Run | None = None
    """The run of the task that is not certainly over."""

    next_run: int = 1
    """Number of the next start."""

    directory: frozenset[int] = frozenset(TARGETS)
    """Targets that this leader knows."""

    knows_targets: bool = True
    """Whether the directory has all targets that its predecessor knew."""

    predecessor_left: frozenset[int] = frozenset()
    """Targets on which the predecessor told that it has no runs."""

    covered: frozenset[int] = frozenset()
    """Tokens of this leader and of its predecessor."""

    same_targets: frozenset[int] = frozenset()
    """Tokens of leaders that knew the same targets when they stepped down."""

    other_lists: frozenset[int] = frozenset()
    """Members that knew a target, when they joined, which this leader lacked."""

    handed_over: bool = False
    """Whether the predecessor told that it used targets of the directory only."""

    earlier: frozenset[int] = frozenset()
    """Tokens of the leaders that had the job before."""

    heard: frozenset[int] = frozenset()
    """Targets that have told this leader what runs there."""

    lease_left: int = 0
    """Ticks until the lease that was last given to its target is over."""

    member_silence: int = 0
    """Ticks since the other member was last heard."""

    strays: frozenset[int] = frozenset()
    """Targets that run the task beside the run that this leader knows."""

    unheard: frozenset[int] = frozenset()
    """Members that have not answered since this leader stood still."""

    decided: Order | None = None
    """A start that was decided on, but not sent, when this leader froze."""


class Member(NamedTuple):
    """One process."""

    alive: bool = True
    """Whether it runs."""

    frozen: bool = False
    """Whether it stands still."""

    frozen_ticks: int = 0
    """For how long it has, up to ``PAUSE_TICKS``."""

    follows: int = 0
    """The leader that it passes jobs to."""

    known_term: int = 0
    """Highest term that it has heard of."""

    has_job: bool = False
    """Whether its caller's job is open at its desk."""

    passed_to: int = NOBODY
    """The leader that it passed the job to."""

    passed: frozenset[int] = frozenset()
    """Tokens of all leaders that it passed the job to."""

    roster: frozenset[int] = frozenset(TARGETS)
    """Targets that its last leader knew."""

    roster_token: int = 2
    """Token of that leader."""

    confirmed: bool = False
    """Whether a leader may have started the job since it was submitted here."""

    connection_broken: bool = False
    """Whether the caller's connection broke while it stood still."""


class State(NamedTuple):
    """Everything."""

    budget: Budget
    members: tuple[Member, ...]
    tables: tuple[Tables, ...]
    targets: tuple[Target, ...] = (Target(), Target())
    orders: frozenset[Order] = frozenset()
    caller_at: int = NOBODY
    caller_wait: int = 0
    members_cut: bool = False
    links_cut: frozenset[tuple[int, int]] = frozenset()
    """Pairs of a member and a target that it does not reach."""


class Scenario(NamedTuple):
    """What is the case first, and which faults may follow."""

    budget: Budget
    """Faults that may happen, at any moment, in any order."""

    caller_at: int = NOBODY
    """Member whose caller waits for its job, which runs at target 0; ``NOBODY``:
    nothing was submitted yet."""

    started: bool = True
    """Whether that job runs already; otherwise it waits in the leader's queue."""

    knows_all: bool = True
    """Whether target 1 is in the directory; otherwise it may be added."""

    two_sides: bool = False
    """Whether the zones are cut off already: member 1 leads its side, and the job of
    its caller runs at target 1."""


def first_state(scenario: Scenario) -> State:
    """Return the state in which member 0 leads and has heard every target."""
    if scenario.two_sides:
        return _two_sides(scenario)
    budget = scenario.budget
    leading = Tables(token=2, covered=frozenset({2}), heard=frozenset(TARGETS))
    members = [Member(known_term=1), Member(known_term=1)]
    targets = [Target(token=2), Target(token=2)]
    origin = scenario.caller_at
    if origin != NOBODY:
        run = None
        if scenario.started:
            run = Run(target=0, number=1, settled=True)
        leading = leading._replace(
            origins=frozenset({origin}),
            run=run,
            confirmed=True,
            next_run=2,
            lease_left=LEASE_OVER_TICKS,
        )
        members[origin] = members[origin]._replace(
            has_job=True, passed_to=0, passed=frozenset({2}), confirmed=True
        )
        if scenario.started:
            targets[0] = targets[0]._replace(run=1, lease=LEASE_TICKS)
        budget = budget._replace(submits=budget.submits - 1)
    if not scenario.knows_all:
        known = frozenset({0})
        leading = leading._replace(directory=known, heard=known)
        members = [member._replace(roster=known) for member in members]
    return State(
        budget=budget,
        members=tuple(members),
        tables=(leading, Tables()),
        targets=tuple(targets),
        caller_at=origin,
    )


def _two_sides(scenario: Scenario) -> State:
    """Return the state in which each member leads the side of a cut with its target."""
    token, number = 5, 16
    own, other = frozenset({0}), frozenset({1})
    return State(
        budget=scenario.budget._replace(submits=scenario.budget.submits - 1),
        members=(
            Member(known_term=1),
            Member(
                follows=1,
                known_term=2,
                has_job=True,
                passed_to=1,
                passed=frozenset({token}),
                roster_token=token,
                confirmed=True,
            ),
        ),
        tables=(
            Tables(token=2, covered=frozenset({2}), heard=own),
            Tables(
                token=token,
                covered=frozenset({2, token}),
                heard=other,
                origins=other,
                run=Run(target=1, number=number, settled=True),
                confirmed=True,
                next_run=number + 1,
                lease_left=LEASE_OVER_TICKS,
            ),
        ),
        targets=(Target(token=2), Target(token=token, run=number, lease=LEASE_TICKS)),
        caller_at=1,
        members_cut=True,
        links_cut=frozenset({(0, 1), (1, 0)}),
    )
