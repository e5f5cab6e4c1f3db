"""States of the model: one submission, a few instances, a few targets.

The model has no clock. A pause, a cut link or a lost message is an action that
does not happen for a while, or never; every such order is explored, since no
action is ever forced. A store answer that is lost after the write is a state of
its own, as its writer goes on.
"""

from enum import IntEnum
from typing import NamedTuple

NOBODY = -1
"""Stands for no instance."""


class Record(IntEnum):
    """What an instance keeps of the submission."""

    NONE = 0
    RUNNING = 1
    NOT_RUN = 2
    COMPLETE = 3
    FAILED = 4


class Sent(IntEnum):
    """What a home knows of one task."""

    UNSENT = 0
    """No start is out, or every one was denied."""

    SENT = 1
    """A start is out, or a run is awaited."""

    DONE = 2
    """The result is here."""


class RunStatus(IntEnum):
    """How far a run at a target is."""

    RUNNING = 0
    DONE = 1
    LAPSED = 2


class Run(NamedTuple):
    """A run at a target; it proves that the task began there."""

    home: int
    """Instance whose start it was."""

    status: RunStatus
    """How far it is."""


class Seen(NamedTuple):
    """A target's answer to a fence, as the successor got it."""

    begun: tuple[bool, ...]
    """Whether the target had begun each task."""

    exhaustive: bool
    """Whether it had forgotten nothing."""


class Instance(NamedTuple):
    """One incarnation."""

    alive: bool = True
    """Whether its process exists."""

    asked: bool = False
    """Whether a caller gave it the submission."""

    record: Record = Record.NONE
    """Its row for the submission."""

    sent: tuple[Sent, ...] = ()
    """What it knows of each task."""

    began: bool = False
    """Whether it knows that a task began, though no run of it goes on."""

    forgot: bool = False
    """Whether the retention of its row ended."""

    token: int = 0
    """Token of its present claim; a new one after each claim that it won."""

    claim_lost: bool = False
    """Whether the answer to its claim was lost."""

    line: tuple[int, ...] = ()
    """The dead homes that it succeeds, the first one first."""

    seen: tuple[Seen | None, ...] = ()
    """What each target answered to its fence."""


class Target(NamedTuple):
    """One runner."""

    alive: bool = True
    """Whether its process exists."""

    fenced: frozenset[int] = frozenset()
    """Instances whose starts it refuses."""

    runs: tuple[Run | None, ...] = ()
    """Its run of each task."""

    exhaustive: bool = True
    """Whether it has forgotten nothing."""


class Flight(NamedTuple):
    """A start on its way."""

    home: int
    """Sender."""

    task: int
    """Task to start."""

    target: int
    """Receiver."""

    late: bool
    """Whether its start-by time has passed."""


class Claim(NamedTuple):
    """The claim row of an id that a caller chose."""

    home: int
    """Instance that wrote it."""

    token: int
    """Token of that write."""


class Budget(NamedTuple):
    """How often each event may still happen; what keeps the states finite."""

    submits: int
    kills: int
    target_losses: int
    lost_answers: int
    forgets: int
    lapses: int
    delays: int
    reconnects: int = 0


class State(NamedTuple):
    """Everything at one moment, and what was said and begun until then."""

    instances: tuple[Instance, ...]
    """Incarnations by number."""

    targets: tuple[Target, ...]
    """Runners by number."""

    flights: frozenset[Flight]
    """Starts on their way."""

    claim: Claim | None
    """Claim row in the store."""

    delayed_claims: frozenset[Claim]
    """Claims whose answer was lost and that may still take effect."""

    successors: tuple[int, ...]
    """Takeover rows: the successor of each instance, or NOBODY."""

    budget: Budget
    """Events left."""

    begins: tuple[int, ...]
    """How often each task began, anywhere."""

    said: frozenset[Record]
    """Final answers given to callers."""


class Scenario(NamedTuple):
    """The bounds of one exploration."""

    name: str
    """Name for reports."""

    bare_id: bool
    """Whether the caller chose the id; else instance 0 issued a ticket."""

    repeatable: bool
    """Whether tasks may run again."""

    instances: int
    """Number of instances."""

    targets: int
    """Number of targets."""

    tasks: int
    """Tasks of the submission."""

    budget: Budget
    """Events allowed, after those of ``begin_with``."""

    begin_with: tuple[str, ...] = ()
    """Labels of the first steps; the search goes on from there."""

    def initial(self) -> State:
        """Return the state in which nothing happened."""
        instance = Instance(
            sent=(Sent.UNSENT,) * self.tasks, seen=(None,) * self.targets
        )
        return State(
            instances=(instance,) * self.instances,
            targets=(Target(runs=(None,) * self.tasks),) * self.targets,
            flights=frozenset(),
            claim=None,
            delayed_claims=frozenset(),
            successors=(NOBODY,) * self.instances,
            budget=self.budget,
            begins=(0,) * self.tasks,
            said=frozenset(),
        )


class Rules(NamedTuple):
    """The safeguards of the protocol; a mutation turns one off."""

    fence: bool = True
    """Targets refuse starts of a fenced home."""

    start_by: bool = True
    """Targets refuse starts past their start-by time."""

    claim_token: bool = True
    """A claim whose answer was lost is known by its token, not by its home."""

    not_run_binding: bool = True
    """A home that said "not run" keeps that answer for the id."""

    takeover_row: bool = True
    """A successor needs the row."""

    unbegun_not_resumed: bool = True
    """A successor does not run a submission of which no task is seen begun."""

    silent_targets_wait: bool = True
    """A successor concludes nothing while a target has not answered its fence."""

    one_stream: bool = True
    """A target reads nothing more of a home's old stream once it has a new one."""

    expiry: bool = True
    """A home that forgot a ticket's row does not open it again."""
