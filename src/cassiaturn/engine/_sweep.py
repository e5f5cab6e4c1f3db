"""What runs over the tables each tick: deadlines, leases, lost tasks, health."""

from cassiaturn.engine._dispatch import (
    charge_popped,
    dispatch,
    expire_record,
    release,
)
from cassiaturn.engine._results import take_lost
from cassiaturn.engine._returns import return_lost, trim_returned
from cassiaturn.engine._settle import settle_incomplete
from cassiaturn.engine._state import State
from cassiaturn.engine._tables import TaskRecord, TaskState
from cassiaturn.entities import Reason

RENEW_AT = 0.5
"""Share of a lease after which it is renewed: one lost frame leaves time for
another before the target stops the task."""


def tick(state: State, now: float) -> None:
    """Run every system once."""
    _expire_queued(state, now)
    _expire_jobs(state, now)
    _requeue_delayed(state, now)
    _renew_and_reclaim(state, now)
    _apply_health(state, now)
    _unblock(state, now)
    trim_returned(state, now)
    _acknowledge(state, now)
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
        maybe = [r for r in job.records if r.state is TaskState.SPILLED]
        settle_incomplete(state, job, Reason.DEADLINE, detail, now, maybe=maybe)


def _requeue_delayed(state: State, now: float) -> None:
    while (record := state.pop_due(now)) is not None:
        job = state.jobs_by_id.get(record.key.submission_id)
        if job is None:
            continue
        record.task.job_remaining = job.remaining
        state.enqueue(record)


def _renew_and_reclaim(state: State, now: float) -> None:
    renew_after_s = state.settings.lease_s * RENEW_AT
    for record in list(state.in_flight_by_key.values()):
        if record.state is TaskState.SPILLED:
            _reclaim(state, record, now)
        elif not _is_connected(state, record):
            _reclaim_from_target(state, record, now)
        elif record.state is TaskState.CANCELLED:
            # Nobody wants it: its lease ends it if the cancellation was lost.
            continue
        elif now - record.renewed_at >= renew_after_s:
            _renew(state, record, now)


def _is_connected(state: State, record: TaskRecord) -> bool:
    target = state.targets_by_id.get(record.target_id)
    return target is not None and target.connected


def _reclaim_from_target(state: State, record: TaskRecord, now: float) -> None:
    # With the stream gone no renewal arrives, so the target stops the task when
    # its lease lapses; until then it may still be running and its slot taken.
    if now < record.latest_end_at:
        return
    release(state, record)
    charge_popped(state, record.task, now - record.sent_at)
    if record.state is TaskState.CANCELLED:
        state.records_by_key.pop(record.key, None)
    elif record.origin is not None:
        return_lost(state, record, now)
    else:
        take_lost(state, record, now)


def _renew(state: State, record: TaskRecord, now: float) -> None:
    # A task of a home that went silent is left to its lease: the home counts on
    # its end before it runs the task again elsewhere.
    if record.origin is not None and record.origin not in state.peers_by_incarnation:
        return
    record.renewed_at = now
    record.latest_end_at = now + state.settings.start_within_s + state.settings.lease_s
    state.ports.send_renewal(record.target_id, record.key, record.task.attempt)


def _reclaim(state: State, record: TaskRecord, now: float) -> None:
    # A holder that vanished cannot renew, so a run that it began is stopped by
    # the target when the lease lapses, and a start that it still sends is past
    # its start-by time. While the holder lives it reports, so waiting on is
    # right: a long task is renewed there.
    if now < record.latest_end_at or record.peer in state.peers_by_incarnation:
        return
    state.in_flight_by_key.pop(record.key, None)
    charge_popped(state, record.task, 0.0)
    take_lost(state, record, now)


def _apply_health(state: State, now: float) -> None:
    changes = state.health.tick(now)
    state.health_changes.extend(changes)
    for change in changes:
        target = state.targets_by_id.get(change.target_id)
        if target is not None:
            target.allowance = change.allowance


def _acknowledge(state: State, now: float) -> None:
    while (due := state.pop_acknowledgement(now)) is not None:
        state.ports.acknowledge(due.target_id, due.key, due.attempt)


def _unblock(state: State, now: float) -> None:
    blocked = state.blocked_until_by_target
    for target_id in [key for key, until in blocked.items() if until <= now]:
        del blocked[target_id]
