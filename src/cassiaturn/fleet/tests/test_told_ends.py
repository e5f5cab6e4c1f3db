"""Tests of which ends a leader acknowledges, and of what its keeper remembers."""

import asyncio

import pytest

from cassiaturn.entities import TaskRef
from cassiaturn.fleet import _done_tasks, _told_ends
from cassiaturn.fleet._done_tasks import DoneTasks, to_message, to_refs
from cassiaturn.fleet._told_ends import Receipt, ToldEnds

JOB = "5c0e7a21d94b36f8"

FIRST, SECOND = (TaskRef(JOB, 0, 0, index) for index in range(2))


def _receipts(count: int) -> list[Receipt]:
    return [Receipt() for _ in range(count)]


async def test_ends_are_acknowledged_in_order_once_they_were_told() -> None:
    """Guards against acknowledging an end that no other member knows."""
    ends = ToldEnds()
    first, second = _receipts(2)
    ends.add(3, [first, second])
    ends.add(4, [])
    assert ends.acknowledged == 0
    second.settle()
    assert ends.acknowledged == 0
    first.settle()
    assert ends.acknowledged == 4


async def test_a_wait_ends_when_all_was_told() -> None:
    ends = ToldEnds()
    (receipt,) = _receipts(1)
    ends.add(1, [receipt])
    asyncio.get_running_loop().call_later(0.01, receipt.settle)
    async with asyncio.timeout(5.0):
        await ends.wait(60.0)
    assert ends.acknowledged == 1


async def test_a_member_that_does_not_read_blocks_no_acknowledgement_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a target that lists an end forever."""
    monkeypatch.setattr(_told_ends, "TELL_TIMEOUT_S", 0.01)
    ends = ToldEnds()
    ends.add(1, _receipts(1))
    await ends.wait(0.02)
    assert ends.acknowledged == 1


async def test_a_frame_that_is_never_written_delays_no_later_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pause before each request to a target for the rest of a term."""
    monkeypatch.setattr(_told_ends, "TELL_TIMEOUT_S", 0.0)
    ends = ToldEnds()
    (receipt,) = _receipts(1)
    ends.add(1, [receipt])
    assert ends.acknowledged == 1
    async with asyncio.timeout(5.0):
        await ends.wait(60.0)
    receipt.settle()
    async with asyncio.timeout(5.0):
        await ends.wait(60.0)


def test_a_keeper_hands_on_what_it_was_told_once() -> None:
    """Guards against losing or repeating finished tasks at a change of leader."""
    kept = DoneTasks()
    kept.read(to_message({JOB: [FIRST]}))
    kept.read(to_message({JOB: [SECOND], "ended": [TaskRef("ended", 0, 0, 0)]}))
    kept.read(to_message({}, ["ended"]))
    taken = kept.take()
    assert set(to_refs(to_message(taken))) == {FIRST, SECOND}
    assert not kept.take()


@pytest.mark.parametrize(
    ("keep_s", "most"), [(0.0, 100), (30.0, 1)], ids=["age", "number"]
)
def test_what_a_keeper_remembers_is_bounded(
    monkeypatch: pytest.MonkeyPatch, keep_s: float, most: int
) -> None:
    """Guards against a keeper whose memory grows with every job."""
    monkeypatch.setattr(_done_tasks, "KEEP_S", keep_s)
    monkeypatch.setattr(_done_tasks, "MAX_KEPT_JOBS", most)
    kept = DoneTasks()
    for number in range(5):
        job_id = f"{number:016x}"
        kept.read(to_message({job_id: [TaskRef(job_id, 0, 0, 0)]}))
    assert len(kept.take()) <= 1
