"""Tests of the clients of the store, including failed calls."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from returns.result import Failure, Success

from cassiaturn.fleet import HistoryLost
from cassiaturn.fleet._leader_row import LeaderRow
from cassiaturn.fleet._leadership import Leadership, RowState
from cassiaturn.platform._store_client import StoreClient
from cassiaturn.platform._table import PlatformObjects, PlatformTable
from cassiaturn.platform._watched_table import WatchedTable
from cassiaturn.platform.tests.standin_store import Fault, StandinStore
from cassiaturn.services import (
    AnswerLost,
    Conflict,
    Delete,
    Missing,
    Put,
    Throttled,
    Unavailable,
)
from cassiaturn.transport.http_client import HttpClient


class Connected:
    """A fake store with all its clients."""

    def __init__(self) -> None:
        self.store = StandinStore()
        self.store.start()
        self.state = self.store.state
        self.client = HttpClient()
        self.store_client = StoreClient(client=self.client, address=self.store.address)
        self.table = PlatformTable(store=self.store_client, table="own")
        self.objects = PlatformObjects(store=self.store_client)
        self.watched: WatchedTable[str] = WatchedTable(
            store=self.store_client, table="op", decode=lambda _, value: value.decode()
        )


@pytest.fixture
async def connected() -> AsyncIterator[Connected]:
    connected = Connected()
    yield connected
    await connected.client.close()
    await connected.store.close()


async def test_conditional_writes(connected: Connected) -> None:
    table = connected.table
    put = Put(key="a", value="1", expected_version=0)
    version = (await table.transact([put])).unwrap().versions_by_key["a"]
    again = (await table.transact([put])).failure()
    assert isinstance(again, Conflict)
    assert again.rows_by_key["a"].value == "1"
    changed = Put(key="a", value="2", expected_version=version)
    assert isinstance(await table.transact([changed]), Success)
    rows = (await table.read(["a", "b"])).unwrap()
    assert {key: row.value for key, row in rows.items()} == {"a": "2"}
    assert isinstance(await table.transact([Delete(key="a")]), Success)
    assert (await table.read(["a"])).unwrap() == {}


async def test_rows_are_listed_by_prefix(connected: Connected) -> None:
    writes = [Put(key=key, value=key) for key in ("a1", "a2", "a3", "b1")]
    await connected.table.transact(writes)
    found = (await connected.table.scan("a", 2)).unwrap()
    assert [row.key for row in found] == ["a1", "a2"]
    rest = (await connected.table.scan("a", 9, after="a2")).unwrap()
    assert [row.key for row in rest] == ["a3"]


@pytest.mark.parametrize(
    ("fault", "read_error", "write_error"),
    [
        (Fault.BUSY, Unavailable, Unavailable),
        (Fault.THROTTLED, Throttled, Throttled),
        (Fault.ANSWER_LOST, None, AnswerLost),
    ],
)
async def test_failures_tell_whether_a_call_may_have_taken_effect(
    connected: Connected,
    fault: Fault,
    read_error: type | None,
    write_error: type,
) -> None:
    connected.state.fault = fault
    read = await connected.table.read(["a"])
    assert read_error is None or isinstance(read.failure(), read_error)
    write = await connected.table.transact([Put(key="a", value="1")])
    assert isinstance(write.failure(), write_error)


async def test_a_refused_connection_had_no_effect() -> None:
    client = HttpClient()
    store_client = StoreClient(client=client, address="127.0.0.1:1")
    table = PlatformTable(store=store_client, table="own")
    failure = (await table.transact([Put(key="a", value="1")])).failure()
    assert isinstance(failure, Unavailable)
    await client.close()


async def test_changes_come_at_once_and_in_order(connected: Connected) -> None:
    connected.state.put("op", "a", "1")
    snapshot = (await connected.watched.snapshot()).unwrap()
    assert snapshot.entries_by_key == {"a": "1"}
    waiting = asyncio.ensure_future(connected.watched.changes(snapshot.version, 2.0))
    await asyncio.sleep(0.02)
    connected.state.put("op", "a", "2")
    changes = (await waiting).unwrap()
    assert changes.entries_by_key == {"a": "2"}
    connected.state.remove("op", "a")
    changes = (await connected.watched.changes(changes.version, 1.0)).unwrap()
    assert changes.entries_by_key == {"a": None}


async def test_no_change_is_an_empty_answer(connected: Connected) -> None:
    changes = (await connected.watched.changes(0, 0.05)).unwrap()
    assert changes.entries_by_key == {}


async def test_lost_history_is_reported(connected: Connected) -> None:
    for index in range(3):
        connected.state.put("op", "a", str(index))
    connected.state.forget_history()
    result = await connected.watched.changes(1, 0.1)
    assert isinstance(result.failure(), HistoryLost)


async def test_a_malformed_row_hides_no_other_row(connected: Connected) -> None:
    """Guards against losing a whole table because one value is not base64."""
    connected.state.put("op", "a", "1")
    connected.state.commit([("op", "", "bad", "not base64!")])
    snapshot = (await connected.watched.snapshot()).unwrap()
    assert snapshot.entries_by_key == {"a": "1"}


async def test_object_store(connected: Connected) -> None:
    objects = connected.objects
    assert isinstance((await objects.get("x")).failure(), Missing)
    assert isinstance(await objects.put("x", b"\x00\xff"), Success)
    assert (await objects.get("x")).unwrap() == b"\x00\xff"
    assert isinstance(await objects.delete("x"), Success)
    assert isinstance(await objects.get("x"), Failure)


def _leadership(token: int) -> Leadership:
    return Leadership(token=token, term=1, member_id=f"m{token}", address="h:1")


async def test_one_of_two_claims_wins(connected: Connected) -> None:
    """Guards against two leaders that claim the same row at the same time."""
    rows = [LeaderRow(table=connected.table) for _ in range(2)]
    assert [(await row.read()).state for row in rows] == [RowState.ABSENT] * 2
    claims = [_leadership(10), _leadership(20)]
    holders = [await row.claim(claim) for row, claim in zip(rows, claims, strict=True)]
    assert holders == [claims[0], claims[0]]


async def test_a_claim_whose_answer_is_lost_is_read_back(connected: Connected) -> None:
    """Guards against giving up a claim that was stored but not acknowledged."""
    row = LeaderRow(table=connected.table)
    await row.read()
    connected.state.fault = Fault.ANSWER_LOST
    assert await row.claim(_leadership(10)) == _leadership(10)


async def test_a_renewed_row_is_distinguished_from_a_stale_one(
    connected: Connected,
) -> None:
    leader, watcher = (LeaderRow(table=connected.table) for _ in range(2))
    await leader.read()
    await leader.claim(_leadership(10))
    assert (await watcher.read()).state is RowState.YOUNG
    await leader.renew(_leadership(10))
    assert (await watcher.read()).state is RowState.RENEWED


async def test_only_a_later_leader_overwrites_the_row(
    connected: Connected,
) -> None:
    """Guards against an earlier leader that overwrites the row of a later one.

    The later leader claimed during a store outage and writes the row afterwards.
    """
    rows = [LeaderRow(table=connected.table) for _ in range(2)]
    await rows[0].read()
    await rows[0].claim(_leadership(10))
    assert await rows[1].renew(_leadership(20)) == _leadership(20)
    assert await rows[0].renew(_leadership(10)) == _leadership(20)


async def test_an_unreachable_store_is_reported(connected: Connected) -> None:
    connected.state.fault = Fault.BUSY
    row = LeaderRow(table=connected.table)
    assert (await row.read()).state is RowState.UNREADABLE
    assert await row.claim(_leadership(10)) is None
