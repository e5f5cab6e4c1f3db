"""Settles tasks whose holder vanished, by what its targets tell.

A peer that is gone reports nothing more, yet its targets know what it started.
Once no start of it can come any more they are asked: results are taken, running
tasks are kept alive and awaited, and what none of them began runs again, also if
it may not be repeated. Without this, each such task waits for the longest run
that leases allow, 14 s at the usual times, and then fails if it may not be
repeated.
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
    take_back,
    take_ended,
)
from cassiaturn.entities import Address, TaskKey
from cassiaturn.recovery import (
    Adopt,
    Begun,
    FailTask,
    FenceReport,
    RunGround,
    RunNow,
    decide_task,
)
from cassiaturn.targets import fence
from cassiaturn.v1.runner_pb2 import FenceReply

MILLISECONDS = 1000

SCAN_PERIOD_S = 0.5
"""Time between two looks for tasks of vanished holders, in seconds."""

QUERY_TIMEOUT_S = 1.0
"""Longest wait for what a target tells, in seconds."""

LEASE_MS = 2_000
"""Lease that each question gives to the tasks it is about: four periods."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _FenceReplies:
    """What the targets of a vanished holder told."""

    begun_by_key: Mapping[TaskKey, Begun]
    """Tasks that some target began."""

    answered: Collection[str]
    """Targets that answered and remember everything asked for."""

    unanswered: Collection[str]
    """Targets that did not."""


def _remembers_since(reply: FenceReply, age_s: float) -> bool:
    """Return whether a target would know of every start in a time.

    A runner that was restarted since, or that forgets sooner, cannot deny a run:
    taken at its word, a task would run a second time.

    :param age_s: time since the oldest task was given away, in seconds.
    """
    known_s = min(reply.uptime_ms, reply.remembers_ms) / MILLISECONDS
    return reply.exhaustive and known_s > age_s


class Reclaimer:
    """Looks for tasks given to peers that are gone."""

    def __init__(
        self,
        *,
        state: State,
        addresses_for_peer: Callable[[str], Mapping[str, Address]],
    ) -> None:
        """Reclaim for one instance.

        :param addresses_for_peer: targets that an incarnation may have started tasks
            at, by the failure domains where it held any.
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
        # The peer's last start can arrive this long after the task was given.
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
            # With nobody to deny a run, nothing is proved.
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
            over_by=record.over_by,
            now=now,
        )
        match decision:
            case Adopt(begun=begun):
                take_ended(self._state, record, begun.result, begun.run_ms / 1000, now)
            case RunNow(ground=ground):
                never_begun = ground is RunGround.NEVER_BEGUN
                take_back(self._state, record, never_begun=never_begun, now=now)
            case FailTask(detail=detail):
                take_ended(self._state, record, None, 0.0, now, detail=detail)
            case _:
                # Still running, or a target is silent: ask again, until the
                # sweep gives the task up at the end of its longest run.
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
        begun_by_key: dict[TaskKey, Begun] = {}
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
