"""Decides what a successor does with each task of a dead home.

The home is the incarnation that accepted the submission.

Decisions rest on proof, not on likelihood: a task runs again only if no earlier run
of it can still be in progress, and a non-repeatable task only if no run began.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from cassiaturn.entities import Ran, Reason, RunStatus
from cassiaturn.recovery._reported_run import ReportedRun


class RunProof(Enum):
    """Proof on which a task may run now."""

    NEVER_BEGUN = "never_begun"
    """Every target that could have begun it reported that it did not and never will."""

    EARLIER_RUN_OVER = "earlier_run_over"
    """It is repeatable, and any earlier run has ended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """Use the result of an earlier run."""

    begun: ReportedRun
    """Run that is done."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunNow:
    """Start the task now, as a task of the successor."""

    proof: RunProof
    """What was proved."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AwaitRunning:
    """Wait for the result of a run in progress at a reachable target."""

    begun: ReportedRun
    """Run in progress."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunAfter:
    """Start the task later, once every earlier run must have ended."""

    at: float
    """Monotonic time of the earliest start, in seconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FailTask:
    """Fail the task: it has no result and may not run again."""

    ran: Ran
    """How much of the task ran."""

    reason: Reason
    """Why it has no result."""

    detail: str = ""
    """Error that the task reported, if any."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Undetermined:
    """No reachable target can prove whether the task ran."""

    silent_targets: Collection[str]
    """Targets that cannot tell whether the task ran: those that did not answer; if
    there are none, those that forgot runs; if there are none, those that are gone."""


TaskDecision = Adopt | RunNow | AwaitRunning | RunAfter | FailTask | Undetermined
"""Every possible decision on a task."""


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
    """Decide on a task from what targets prove; the first matching row applies.

    ==============================  ===========================  =============
    known                           repeatable                   not repeatable
    ==============================  ===========================  =============
    begun, done                     Adopt                        Adopt
    begun, done, result dropped     Undetermined                 Undetermined
    begun, failed                   FailTask(EVERYTHING)         the same
    begun, cancelled                FailTask(SOME)               the same
    begun, running, reachable       AwaitRunning                 AwaitRunning
    target
    begun, running, target gone     as "not begun" below         Undetermined
    begun, lease lapsed             as "not begun" below         FailTask(SOME)
    not begun, silent target        RunAfter(latest_end_at),     Undetermined
                                    RunNow once past it;
                                    Undetermined without it
    not begun, forgetful or gone    RunNow(EARLIER_RUN_OVER)     Undetermined
    target only
    not begun, all fenced           RunNow(NEVER_BEGUN)          the same
    ==============================  ===========================  =============

    A run on a target that is gone is not certainly a failure: the home may have
    received its result and answered the caller before the target ended. A run whose
    lease lapsed is a failure, since it never had a result. Decide again when an
    awaited run ends without a result: a home that is alive but partitioned may
    start the task elsewhere.

    :param repeatable: whether the task may run again.
    :param begun: the most conclusive run that any target reported, if any.
    :param fenced_targets: targets that refuse the dead home's starts and remember
        every run.
    :param unfenced_targets: targets that did not answer the fence and may still
        start the task.
    :param gone_targets: targets whose process ended, and all runs with it; they
        cannot report.
    :param forgetful_targets: targets that refuse its starts but forgot runs that
        ended.
    :param latest_end_at: monotonic time, in seconds, by which every run of the dead
        home must have ended, derived from start-by times and leases; None unless
        the home is known to have ended.
    :param now: monotonic time, in seconds.
    """
    if begun is not None:
        decision = _decide_begun(begun, repeatable, fenced_targets, forgetful_targets)
        if decision is not None:
            return decision
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
            # The home had the result and may have answered with it. The empty
            # result that is left must not be taken for a reply.
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
