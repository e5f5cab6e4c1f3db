"""Periodic work of the engine: deadlines, leases, lost tasks, target health."""

from cassiaturn.engine._dispatch import (
    charge_slot_time,
    dispatch,
    expire_record,
    release,
)
from cassiaturn.engine._results import handle_lost_run
from cassiaturn.engine._returns import expire_returned, return_lost
from cassiaturn.engine._settle import settle_incomplete
from cassiaturn.engine._state import State
from cassiaturn.engine._tables import TaskRecord, TaskState
from cassiaturn.entities import Reason

RENEWAL_LEASE_SHARE = 0.5
"""Part of a lease after which it is renewed: after one lost frame there is time
for another before the target stops the task."""


def tick(state: State, now: float) -> None:
    """Do all periodic work once, then dispatch."""
    _expire_queued(state, now)
    _expire_jobs(state, now)
    _requeue_delayed(state, now)
    _renew_and_reclaim(state, now)
    _apply_health(state, now)
    _expire_target_pauses(state, now)
    expire_returned(state, now)
    _send_acknowledgements(state, now)
    state.submissions.expire(now)
    dispatch(state, now)


def _expire_queued(state: State, now: float) -> None:
    for task in state.queue.expire(now):
        record = state.records_by_key.get(task.key)
        if record is not None and record.state is TaskState.QUEUED:
            expire_record(state, record, now)


def _expire_jobs(state: State, now: float) -> None:
    while (job := state.pop_deadline(now)) is not None:
        detail = f"the deadline passed with {job.remaining} tasks to go"
        possibly_run = [r for r in job.records if r.state is TaskState.SPILLED]
        settle_incomplete(
            state, job, Reason.DEADLINE, detail, now, possibly_run=possibly_run
        )


def _requeue_delayed(state: State, now: float) -> None:
    while (record := state.pop_due(now)) is not None:
        job = state.jobs_by_id.get(record.key.submission_id)
        if job is None:
            continue
        record.task.job_remaining = job.remaining
        state.enqueue(record)


def _renew_and_reclaim(state: State, now: float) -> None:
    renew_after_s = state.settings.lease_s * RENEWAL_LEASE_SHARE
    for record in list(state.in_flight_by_key.values()):
        if record.state is TaskState.SPILLED:
            _reclaim_from_peer(state, record, now)
        elif not _is_connected(state, record):
            _reclaim_from_target(state, record, now)
        elif record.state is TaskState.CANCELLED:
            # Not renewed: if the cancel frame was lost, the lease ends the run.
            continue
        elif now - record.renewed_at >= renew_after_s:
            _renew(state, record, now)


def _is_connected(state: State, record: TaskRecord) -> bool:
    target = state.targets_by_id.get(record.target_id)
    return target is not None and target.connected


def _reclaim_from_target(state: State, record: TaskRecord, now: float) -> None:
    # Without a stream no renewal arrives, so the target stops the task when its
    # lease expires; until then the task may be running and occupy its slot.
    if now < record.latest_end_at:
        return
    release(state, record)
    charge_slot_time(state, record.task, now - record.sent_at)
    if record.state is TaskState.CANCELLED:
        state.records_by_key.pop(record.key, None)
    elif record.origin is not None:
        return_lost(state, record, now)
    else:
        handle_lost_run(state, record, now)


def _renew(state: State, record: TaskRecord, now: float) -> None:
    # The lease of a task whose home is silent must expire: the home relies on that
    # before it runs the task again elsewhere.
    if record.origin is not None and record.origin not in state.peers_by_incarnation:
        return
    record.renewed_at = now
    record.latest_end_at = now + state.settings.start_within_s + state.settings.lease_s
    state.ports.send_renewal(record.target_id, record.key, record.task.attempt)


def _reclaim_from_peer(state: State, record: TaskRecord, now: float) -> None:
    # A peer that is gone renews no leases, so the target stops a run that the peer
    # began when its lease expires, and refuses a start that the peer still sends,
    # since it is past its start-by time. A live peer renews long tasks and reports
    # their outcome, so its tasks are left to it.
    if now < record.latest_end_at or record.peer in state.peers_by_incarnation:
        return
    state.in_flight_by_key.pop(record.key, None)
    charge_slot_time(state, record.task, 0.0)
    handle_lost_run(state, record, now)


def _apply_health(state: State, now: float) -> None:
    changes = state.health.tick(now)
    state.health_changes.extend(changes)
    for change in changes:
        target = state.targets_by_id.get(change.target_id)
        if target is not None:
            target.allowance = change.allowance


def _send_acknowledgements(state: State, now: float) -> None:
    while (due := state.pop_acknowledgement(now)) is not None:
        state.ports.acknowledge(due.target_id, due.key, due.attempt)


def _expire_target_pauses(state: State, now: float) -> None:
    blocked = state.blocked_until_by_target
    for target_id in [key for key, until in blocked.items() if until <= now]:
        del blocked[target_id]
