"""Returns outcomes of spilled tasks to their homes, with retransmission.

Frames in transit when a link breaks are lost without notice. Each outcome is
therefore kept for a while and sent again when the link is restored, and the home
resends its spilled tasks; both sides ignore duplicates.
"""

from collections import OrderedDict

from cassiaturn.engine._state import State
from cassiaturn.engine._tables import ReturnedOutcome, TaskRecord, TaskState
from cassiaturn.entities import TaskKey
from cassiaturn.v1 import peer_pb2, runner_pb2


def return_result(
    state: State, record: TaskRecord, result: runner_pb2.TaskResult, now: float
) -> None:
    """Return the result of a spilled task to its home."""
    outcome = _outcome(record)
    outcome.result.CopyFrom(result)
    _return_outcome(state, record, outcome, now)
    state.acknowledge_later(record, now)


def return_refusal(state: State, record: TaskRecord, reason: int, now: float) -> None:
    """Return a spilled task that was not started and will not be."""
    outcome = _outcome(record)
    outcome.refusal.ref.CopyFrom(outcome.ref)
    outcome.refusal.reason = reason  # type: ignore[assignment]
    _return_outcome(state, record, outcome, now)


def return_lost(state: State, record: TaskRecord, now: float) -> None:
    """Report to the home that the target of its task was lost."""
    outcome = _outcome(record)
    outcome.target_lost = True
    _return_outcome(state, record, outcome, now)


def was_returned(state: State, peer: str, key: TaskKey, attempt: int) -> bool:
    """Return whether an outcome of this or a later attempt was already sent."""
    returned_by_key = state.returned_by_peer.get(peer)
    returned = returned_by_key.get(key) if returned_by_key else None
    return returned is not None and returned.outcome.ref.attempt >= attempt


def resend(state: State, peer: str) -> None:
    """Resend, on a new link to a peer, what may have been lost on the old one."""
    for returned in state.returned_by_peer.get(peer, {}).values():
        state.ports.return_outcome(peer, returned.outcome)
    for record in state.in_flight_by_key.values():
        if record.state is not TaskState.SPILLED or record.peer != peer:
            continue
        job = state.jobs_by_id[record.key.submission_id]
        within_s = max(
            0.0, record.latest_end_at - state.settings.lease_s - record.sent_at
        )
        state.ports.spill(record, within_s=within_s, job_remaining=job.remaining)


def expire_returned(state: State, now: float) -> None:
    """Drop outcomes older than any link loss after which a peer is still known."""
    oldest = now - 2 * state.settings.peer_gone_s
    for returned_by_key in state.returned_by_peer.values():
        while returned_by_key:
            first = next(iter(returned_by_key.values()))
            if first.at >= oldest:
                break
            returned_by_key.popitem(last=False)


def _outcome(record: TaskRecord) -> peer_pb2.SpillOutcome:
    ref = runner_pb2.TaskRef(
        submission_id=record.key.submission_id,
        index=record.key.task_index,
        attempt=record.task.attempt,
    )
    return peer_pb2.SpillOutcome(ref=ref, target_id=record.target_id)


def _return_outcome(
    state: State, record: TaskRecord, outcome: peer_pb2.SpillOutcome, now: float
) -> None:
    peer = record.origin
    if peer is None:
        raise AssertionError(f"task {record.key} has no peer to return it to")
    record.state = TaskState.DONE
    state.records_by_key.pop(record.key, None)
    state.in_flight_by_key.pop(record.key, None)
    if peer not in state.peers_by_incarnation:
        return
    returned_by_key = state.returned_by_peer.setdefault(peer, OrderedDict())
    returned_by_key.pop(record.key, None)
    returned_by_key[record.key] = ReturnedOutcome(outcome=outcome, at=now)
    state.ports.return_outcome(peer, outcome)
