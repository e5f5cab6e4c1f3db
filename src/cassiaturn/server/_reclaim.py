"""Settles tasks spilled to a peer that is gone, from the reports of its targets.

A peer that is gone sends no outcomes, but its targets know which tasks it started.
Once none of its starts can arrive any more, the targets are queried: results are
adopted, running tasks keep their leases and are awaited, and tasks that no target
began run again, even non-repeatable ones. Without this, each such task would wait
for the longest run that leases allow (14 s with the default timings) and then fail
if it is not repeatable.
"""

import asyncio
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from returns.result import Success

from cassiaturn.engine import (
    State,
    TaskRecord,
    TaskState,
    dispatch,
    finish_spilled,
    reclaim_spilled,
)
from cassiaturn.entities import Address, TaskKey
from cassiaturn.recovery import (
    Adopt,
    FailTask,
    FenceReport,
    ReportedRun,
    RunNow,
    RunProof,
    decide_task,
)
from cassiaturn.targets import fence
from cassiaturn.v1.runner_pb2 import FenceReply

MS_PER_S = 1000

SCAN_PERIOD_S = 0.5
"""Interval between scans for tasks spilled to peers that are gone, in seconds."""

QUERY_TIMEOUT_S = 1.0
"""Longest wait for a target's report, in seconds."""

LEASE_MS = 2_000
"""Lease that each query gives to the tasks it names, in milliseconds; four scan
periods."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _FenceReplies:
    """Reports of the targets that a peer which is gone may have used."""

    begun_by_key: Mapping[TaskKey, ReportedRun]
    """Tasks that some target began, with what it knows of them."""

    answered: Collection[str]
    """Targets that answered and remember every start in question."""

    unanswered: Collection[str]
    """Targets that did not answer or may have forgotten starts."""


def _remembers_since(reply: FenceReply, age_s: float) -> bool:
    """Return whether a target would know of every start since a time.

    A runner that was restarted since then, or that forgets sooner, cannot prove
    that a task did not run there. Trusting it could run a task a second time.

    :param age_s: time since the oldest task was spilled, in seconds.
    """
    known_s = min(reply.uptime_ms, reply.remembers_ms) / MS_PER_S
    return reply.exhaustive and known_s > age_s


class Reclaimer:
    """Scans for tasks spilled to peers that are gone and settles them."""

    def __init__(
        self,
        *,
        state: State,
        addresses_for_peer: Callable[[str], Mapping[str, Address]],
    ) -> None:
        """Create the reclaimer of one instance.

        :param addresses_for_peer: returns the targets at which an incarnation may
            have started tasks: those of the failure domains where it held any.
        """
        self._state = state
        self._addresses_for_peer = addresses_for_peer

    async def run(self) -> None:
        """Reclaim until cancelled."""
        while True:
            await asyncio.sleep(SCAN_PERIOD_S)
            for peer, records in self._overdue(time.monotonic()).items():
                await self._settle(peer, records)

    def _overdue(self, now: float) -> Mapping[str, Sequence[TaskRecord]]:
        state = self._state
        # The peer's last start can arrive this long after the task was spilled.
        wait_s = state.settings.spill_within_s + state.settings.start_within_s
        records_by_peer: dict[str, list[TaskRecord]] = {}
        for record in state.in_flight_by_key.values():
            if record.state is not TaskState.SPILLED:
                continue
            if record.peer in state.peers_by_incarnation:
                continue
            if now >= record.sent_at + wait_s:
                records_by_peer.setdefault(record.peer, []).append(record)
        return records_by_peer

    async def _settle(self, peer: str, records: Sequence[TaskRecord]) -> None:
        addresses_by_target = self._addresses_for_peer(peer)
        if not addresses_by_target:
            # No target can prove that a task did not run.
            return
        replies = await self._query_targets(addresses_by_target, records)
        now = time.monotonic()
        for record in records:
            if record.state is TaskState.SPILLED and record.peer == peer:
                self._decide(record, replies, now)
        dispatch(self._state, now)

    def _decide(self, record: TaskRecord, replies: _FenceReplies, now: float) -> None:
        decision = decide_task(
            repeatable=record.method.repeatable,
            begun=replies.begun_by_key.get(record.key),
            fenced_targets=replies.answered,
            unfenced_targets=replies.unanswered,
            gone_targets=(),
            latest_end_at=record.latest_end_at,
            now=now,
        )
        match decision:
            case Adopt(begun=begun):
                finish_spilled(
                    self._state, record, begun.result, begun.run_ms / 1000, now
                )
            case RunNow(proof=proof):
                never_begun = proof is RunProof.NEVER_BEGUN
                reclaim_spilled(self._state, record, never_begun=never_begun, now=now)
            case FailTask(detail=detail):
                finish_spilled(self._state, record, None, 0.0, now, detail=detail)
            case _:
                # Still running, or a target did not answer: query again, until the
                # engine gives the task up after its longest possible run.
                pass

    async def _query_targets(
        self,
        addresses_by_target: Mapping[str, Address],
        records: Sequence[TaskRecord],
    ) -> _FenceReplies:
        keys = [record.key for record in records]
        oldest_s = time.monotonic() - min(record.sent_at for record in records)
        replies = await asyncio.gather(
            *(
                fence(
                    address=address,
                    home=self._state.settings.incarnation,
                    timeout_s=QUERY_TIMEOUT_S,
                    lease_ms=LEASE_MS,
                    only_tell=True,
                    about=keys,
                )
                for address in addresses_by_target.values()
            )
        )
        begun_by_key: dict[TaskKey, ReportedRun] = {}
        answered: set[str] = set()
        unanswered: set[str] = set()
        for target_id, reply in zip(addresses_by_target, replies, strict=True):
            match reply:
                case Success(message) if _remembers_since(message, oldest_s):
                    answered.add(target_id)
                    begun_by_key.update(FenceReport.from_message(message).begun)
                case _:
                    unanswered.add(target_id)
        return _FenceReplies(
            begun_by_key=begun_by_key, answered=answered, unanswered=unanswered
        )
