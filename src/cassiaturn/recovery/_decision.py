"""What a successor does with each task of a home that is gone.

The rule is proof, not likelihood: a task runs again only if no earlier run of it
can still be going on, and a task that may not be repeated only if none began.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from cassiaturn.entities import Ran, Reason, RunStatus
from cassiaturn.recovery._reported_run import ReportedRun


class RunProof(Enum):
    """Why a task may run now."""

    NEVER_BEGUN = "never_begun"
    """Every target that could have begun it denies it for good."""

    EARLIER_RUN_OVER = "earlier_run_over"
    """It may be repeated, and any earlier run has ended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """Take the result of the first run."""

    begun: ReportedRun
    """The run that is done."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunNow:
    """Start the task as one's own."""

    proof: RunProof
    """What was proved."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AwaitRunning:
    """The first run goes on at a target in reach: wait for its result."""

    begun: ReportedRun
    """The run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunAfter:
    """Start the task once every earlier run must have ended."""

    at: float
    """Monotonic time, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FailTask:
    """The task has no result and may not run again."""

    ran: Ran
    """What ran of this task."""

    reason: Reason
    """Why it has no result."""

    detail: str = ""
    """What the task reported, if it did."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Undetermined:
    """Nobody in reach can say whether the task ran."""

    silent_targets: Collection[str]
    """Targets whose word is missing: the silent ones, else those that forgot, else
    those that are gone."""


TaskDecision = Adopt | RunNow | AwaitRunning | RunAfter | FailTask | Undetermined
"""Everything that can be decided for a task."""


def decide_task(
    *,
    repeatable: bool,
    begun: ReportedRun | None,
    fenced_targets: Collection[str],
    unfenced_targets: Collection[str],
    gone_targets: Collection[str],
    forgetful_targets: Collection[str] = (),
    latest_end_at: float | None,
    now: float,
) -> TaskDecision:
    """Decide a task by what its targets prove; the first line that fits holds.

    ==============================  ===========================  =============
    known                           repeatable                   not repeatable
    ==============================  ===========================  =============
    begun, done                     Adopt                        Adopt
    begun, done, result dropped     Undetermined                 Undetermined
    begun, failed                   FailTask(EVERYTHING)         the same
    begun, cancelled                FailTask(SOME)               the same
    begun, running, target in reach AwaitRunning                 AwaitRunning
    begun, running, target gone     as "not begun" below         Undetermined
    begun, lease lapsed             as "not begun" below         FailTask(SOME)
    not begun, silent target        RunAfter(latest_end_at),     Undetermined
                                    RunNow once past it;
                                    Undetermined without it
    not begun, forgetful or gone    RunNow(EARLIER_RUN_OVER)     Undetermined
    target only
    not begun, all fenced           RunNow(NEVER_BEGUN)          the same
    ==============================  ===========================  =============

    A run on a target that is gone is no failure for sure: the home may have got
    its result, and told its caller, before the target went. A lapsed lease is one,
    since its result never existed. Ask again when an awaited run ends without a
    result: a home that is alive but cut off may start the task elsewhere.

    :param repeatable: whether the task may run again.
    :param begun: the best run that any target reported.
    :param fenced_targets: refuse the dead home's starts, and remember every run.
    :param unfenced_targets: did not answer the fence; may still start the task.
    :param gone_targets: ended, with whatever ran there; they can tell nothing.
    :param forgetful_targets: refuse its starts, but forgot runs that ended.
    :param latest_end_at: time by which no run of the dead home can go on anywhere, from
        start-by times and leases; None unless that home is known to have ended.
    :param now: monotonic time, in seconds.
    """
    if begun is not None:
        settled = _decide_begun(begun, repeatable, fenced_targets, forgetful_targets)
        if settled is not None:
            return settled
    silent = unfenced_targets
    if not repeatable:
        silent = unfenced_targets or forgetful_targets or gone_targets
    if silent:
        if not repeatable or latest_end_at is None:
            return Undetermined(silent_targets=silent)
        if now < latest_end_at:
            return RunAfter(at=latest_end_at)
        return RunNow(proof=RunProof.EARLIER_RUN_OVER)
    if begun is not None or forgetful_targets or gone_targets:
        return RunNow(proof=RunProof.EARLIER_RUN_OVER)
    return RunNow(proof=RunProof.NEVER_BEGUN)


def _decide_begun(
    begun: ReportedRun,
    repeatable: bool,
    fenced_targets: Collection[str],
    forgetful_targets: Collection[str],
) -> TaskDecision | None:
    match begun.status:
        case RunStatus.DONE if begun.result_dropped:
            # Its home had the result and may have answered with it. The empty
            # rest, taken for a reply, would be a wrong answer.
            return Undetermined(silent_targets=())
        case RunStatus.DONE:
            return Adopt(begun=begun)
        case RunStatus.FAILED:
            return FailTask(
                ran=Ran.EVERYTHING, reason=Reason.TASK_FAILED, detail=begun.detail
            )
        case RunStatus.CANCELLED:
            return FailTask(ran=Ran.SOME, reason=Reason.CANCELLED)
        case RunStatus.LEASE_LAPSED:
            if repeatable:
                return None
            return FailTask(ran=Ran.SOME, reason=Reason.TARGET_LOST)
        case RunStatus.RUNNING:
            if begun.target_id in fenced_targets:
                return AwaitRunning(begun=begun)
            if begun.target_id in forgetful_targets:
                return AwaitRunning(begun=begun)
            return None
