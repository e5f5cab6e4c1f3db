"""Handles what targets and peers report about the tasks sent to them."""

from collections.abc import Sequence

from cassiaturn.engine._dispatch import charge_slot_time, release
from cassiaturn.engine._returns import return_lost, return_refusal, return_result
from cassiaturn.engine._settle import settle_complete, settle_incomplete
from cassiaturn.engine._state import State
from cassiaturn.engine._tables import Job, TaskRecord, TaskState
from cassiaturn.entities import Reason, TaskKey
from cassiaturn.policy import PreviousRun, Retry, failure_pause_s
from cassiaturn.v1 import peer_pb2
from cassiaturn.v1 import runner_pb2 as pb

BUSY_PAUSE_S = 0.05
"""Pause in starts to a target that refused one as busy: another holder uses its
slots, and the shortest tasks last 50 ms."""

MEAN_RUN_SMOOTHING = 0.05
"""Weight of a run in the exponential mean run time of its class; the mean covers
about the last 20 runs."""


def on_result(
    state: State, target_id: str, result: pb.TaskResult, now: float
) -> TaskRecord | None:
    """Handle the result of a task from the target that ran it.

    :returns: the record of the task; None if the result was ignored.
    """
    record = _record_of(state, result.ref)
    if record is None or record.target_id != target_id:
        # The job is settled already, or the result is a duplicate or of an earlier
        # attempt.
        state.ports.acknowledge(target_id, _key(result.ref), result.ref.attempt)
        return None
    if record.state not in (TaskState.RUNNING, TaskState.CANCELLED):
        return None
    if result.status == pb.TASK_STATUS_RUNNING:
        return None
    run_s = result.run_ms / 1000
    ok = result.status == pb.TASK_STATUS_DONE
    release(state, record)
    if record.state is TaskState.CANCELLED:
        state.records_by_key.pop(record.key, None)
        state.health.refused(target_id, None, now, key=record.key)
        charge_slot_time(state, record.task, run_s)
        state.ports.acknowledge(target_id, record.key, record.task.attempt)
        return record
    observed_s = now - record.sent_at
    state.health.finished(
        target_id, record.key, record.method.name, observed_s, ok, now
    )
    _pause_failing_target(state, target_id, ok, now)
    _record_run_time(state, record, run_s)
    if record.origin is not None:
        return_result(state, record, result, now)
        return record
    _handle_result(state, record, result, now)
    return record


def on_refusal(
    state: State, target_id: str, refusal: pb.StartRefusal, now: float
) -> None:
    """Handle a refused start."""
    record = _record_of(state, refusal.ref)
    if record is None or record.target_id != target_id:
        return
    if record.state not in (TaskState.RUNNING, TaskState.CANCELLED):
        return
    release(state, record)
    charge_slot_time(state, record.task, 0.0)
    state.counters.refused_starts += 1
    state.health.refused(target_id, refusal.reason, now, key=record.key)
    _apply_refusal(state, target_id, refusal.reason, now)
    if record.state is TaskState.CANCELLED:
        state.records_by_key.pop(record.key, None)
        return
    if record.origin is not None:
        return_refusal(state, record, refusal.reason, now)
        return
    handle_refusal(state, record, refusal.reason, now)


def handle_refusal(state: State, record: TaskRecord, reason: int, now: float) -> None:
    """Retry or settle, at its home, a task whose start was refused."""
    job = state.jobs_by_id[record.key.submission_id]
    if reason == pb.REFUSAL_REASON_FENCED:
        # A successor has taken over the submissions of this incarnation. Its
        # decisions are final, so the only correct answer here is UNKNOWN.
        state.ports.superseded()
        return
    if reason == pb.REFUSAL_REASON_DUPLICATE:
        _close_record(state, record)
        detail = f"a target began task {record.key.task_index} before"
        settle_incomplete(
            state, job, Reason.TARGET_LOST, detail, now, possibly_run=(record,)
        )
        return
    state.submissions.refused(job.submission_id)
    _retry(state, record, PreviousRun.NEVER_BEGUN, Reason.NO_TARGET, now)


def on_spill_outcome(
    state: State, peer: str, outcome: peer_pb2.SpillOutcome, now: float
) -> None:
    """Handle the outcome of a task that was spilled to a peer."""
    record = _pop_spilled(state, peer, outcome.ref)
    if record is None:
        return
    if outcome.HasField("result"):
        _record_run_time(state, record, outcome.result.run_ms / 1000)
        _handle_result(state, record, outcome.result, now)
        return
    charge_slot_time(state, record.task, 0.0)
    if outcome.target_lost:
        handle_lost_run(state, record, now)
    else:
        state.counters.refused_spills += 1
        handle_refusal(state, record, outcome.refusal.reason, now)


def on_welcome(
    state: State,
    target_id: str,
    listed: Sequence[pb.TaskResult],
    same_process: bool,
    now: float,
) -> None:
    """Reconcile the open starts at a target after its stream was reconnected.

    :param listed: every task of this instance that the target runs or keeps a
        result of.
    :param same_process: whether the incarnation of the target is still the same; a
        new one does not know what the old one began.
    """
    if not same_process:
        on_target_lost(state, target_id, now)
        return
    known = {_key(result.ref) for result in listed}
    for record in list(state.in_flight_by_key.values()):
        if record.target_id != target_id or record.key in known:
            continue
        ref = pb.TaskRef(
            submission_id=record.key.submission_id,
            index=record.key.task_index,
            attempt=record.task.attempt,
        )
        on_refusal(state, target_id, pb.StartRefusal(ref=ref), now)


def on_target_lost(state: State, target_id: str, now: float) -> None:
    """Reclaim every task of a target whose process is gone.

    Call it only if all its runs have certainly ended: a new incarnation answered,
    or the last lease expired.
    """
    lost = [
        record
        for record in state.in_flight_by_key.values()
        if record.target_id == target_id
    ]
    state.health.lost(target_id, now)
    for record in lost:
        release(state, record)
        charge_slot_time(state, record.task, now - record.sent_at)
        if record.state is TaskState.CANCELLED:
            state.records_by_key.pop(record.key, None)
        elif record.origin is not None:
            return_lost(state, record, now)
        else:
            handle_lost_run(state, record, now)


def handle_lost_run(state: State, record: TaskRecord, now: float) -> None:
    """Retry or settle, at its home, a task whose run ended without a known result."""
    if record.state in (TaskState.DONE, TaskState.CANCELLED):
        return
    job = state.jobs_by_id.get(record.key.submission_id)
    if job is None:
        return
    if record.method.repeatable:
        _retry(state, record, PreviousRun.OVER, Reason.TARGET_LOST, now)
        return
    _close_record(state, record)
    detail = f"the target of task {record.key.task_index} was lost"
    settle_incomplete(
        state, job, Reason.TARGET_LOST, detail, now, possibly_run=(record,)
    )


def finish_spilled(
    state: State,
    record: TaskRecord,
    result: bytes | None,
    run_s: float,
    now: float,
    *,
    detail: str = "",
) -> None:
    """Handle the end of a spilled task that its target reported after peer loss.

    :param result: serialized reply; None if the task failed.
    :param run_s: run time, in seconds.
    :param detail: why the task failed.
    """
    state.in_flight_by_key.pop(record.key, None)
    _record_run_time(state, record, run_s)
    status = pb.TASK_STATUS_FAILED if result is None else pb.TASK_STATUS_DONE
    message = pb.TaskResult(
        status=status, result=result or b"", detail=detail, run_ms=int(run_s * 1000)
    )
    _handle_result(state, record, message, now)


def reclaim_spilled(
    state: State, record: TaskRecord, *, never_begun: bool, now: float
) -> None:
    """Reclaim a spilled task that does not run at the targets of the lost peer.

    :param never_begun: whether no run of it ever began; if False, its run has ended.
    """
    state.in_flight_by_key.pop(record.key, None)
    charge_slot_time(state, record.task, 0.0)
    if never_begun:
        handle_refusal(state, record, pb.REFUSAL_REASON_LATE, now)
    else:
        handle_lost_run(state, record, now)


def _handle_result(
    state: State, record: TaskRecord, result: pb.TaskResult, now: float
) -> None:
    job = state.jobs_by_id[record.key.submission_id]
    job.ran = True
    job.longest_run_s = max(job.longest_run_s, result.run_ms / 1000)
    if result.status == pb.TASK_STATUS_DONE:
        _complete_task(state, job, record, result.result, now)
        return
    if record.method.repeatable:
        _retry(state, record, PreviousRun.OVER, Reason.TASK_FAILED, now)
        return
    _close_record(state, record)
    detail = f"task {record.key.task_index} failed: {result.detail}"
    settle_incomplete(state, job, Reason.TASK_FAILED, detail, now)


def _close_record(state: State, record: TaskRecord) -> None:
    # The slot is released already. If the record stayed RUNNING, settling the job
    # would cancel the run at its target and wait for a second end of it.
    record.state = TaskState.CANCELLED
    state.records_by_key.pop(record.key, None)


def _complete_task(
    state: State, job: Job, record: TaskRecord, result: bytes, now: float
) -> None:
    record.state = TaskState.DONE
    job.results[record.key.task_index] = result
    job.remaining -= 1
    state.retries.succeeded(now)
    if job.remaining == 0:
        settle_complete(state, job, now)


def _retry(
    state: State,
    record: TaskRecord,
    previous_run: PreviousRun,
    reason: Reason,
    now: float,
) -> None:
    record.target_id = ""
    record.peer = ""
    # Refused starts are counted separately for the backoff: three busy targets
    # must not use up the attempts of a task that never ran.
    if previous_run is PreviousRun.NEVER_BEGUN:
        record.refusals += 1
        attempt = record.refusals
    else:
        attempt = record.task.attempt + 1 - record.refusals
    decision = state.retries.decide(
        attempt=attempt,
        repeatable=record.method.repeatable,
        previous_run=previous_run,
        now=now,
    )
    job = state.jobs_by_id[record.key.submission_id]
    if not isinstance(decision, Retry):
        record.state = TaskState.DELAYED
        cause = decision.reason.name.lower()
        detail = f"task {record.key.task_index} was given up: {cause}"
        settle_incomplete(state, job, reason, detail, now)
        return
    # Every start has its own attempt number, so that a late refusal or result of
    # an earlier start is not attributed to this one.
    record.task.attempt += 1
    state.counters.retries += 1
    state.delay(record, now + decision.delay_s)


def _pause_failing_target(state: State, target_id: str, ok: bool, now: float) -> None:
    failures = state.failures_in_row_by_target
    if ok:
        failures.pop(target_id, None)
        return
    failures[target_id] += 1
    pause_s = failure_pause_s(failures[target_id])
    if pause_s:
        state.blocked_until_by_target[target_id] = now + pause_s


def _apply_refusal(state: State, target_id: str, reason: int, now: float) -> None:
    target = state.targets_by_id.get(target_id)
    if target is None:
        return
    if reason == pb.REFUSAL_REASON_LEAVING:
        target.leaving = True
    elif reason == pb.REFUSAL_REASON_BUSY:
        state.blocked_until_by_target[target_id] = now + BUSY_PAUSE_S


def _record_run_time(state: State, record: TaskRecord, run_s: float) -> None:
    charge_slot_time(state, record.task, run_s)
    request_class = record.method.request_class
    state.admission.observe_run(record.method.name, request_class, run_s)
    mean_s = state.mean_run_s_by_class[request_class]
    state.mean_run_s_by_class[request_class] = mean_s + MEAN_RUN_SMOOTHING * (
        run_s - mean_s
    )


def _record_of(state: State, ref: pb.TaskRef) -> TaskRecord | None:
    record = state.records_by_key.get(_key(ref))
    if record is None or record.task.attempt != ref.attempt:
        return None
    return record


def _pop_spilled(state: State, peer: str, ref: pb.TaskRef) -> TaskRecord | None:
    record = _record_of(state, ref)
    if record is None or record.state is not TaskState.SPILLED:
        return None
    if record.peer != peer:
        return None
    state.in_flight_by_key.pop(record.key, None)
    row = state.peers_by_incarnation.get(peer)
    if row is not None:
        row.outstanding -= 1
    return record


def _key(ref: pb.TaskRef) -> TaskKey:
    return TaskKey(ref.submission_id, ref.index)
