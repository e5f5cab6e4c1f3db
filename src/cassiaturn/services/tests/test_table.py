from collections.abc import AsyncIterator
from dataclasses import dataclass

import pytest
from returns.result import Failure, Success

from cassiaturn.services import (
    AnswerLost,
    Committed,
    Conflict,
    Delete,
    HttpCaller,
    HttpHostList,
    HttpMethod,
    HttpObjectStore,
    HttpTableService,
    Missing,
    Misused,
    Put,
    Throttled,
    Unavailable,
    Write,
)
from cassiaturn.standins import PlatformFault, PlatformSettings, PlatformStandIn

PATIENT_S = 5.0
"""Timeout where an answer comes: far above what a busy machine adds to it."""

HANGING_S = 0.2
"""Timeout where none comes."""


@dataclass(frozen=True, slots=True)
class Rig:
    """The platform and its clients."""

    platform: PlatformStandIn
    caller: HttpCaller
    table: HttpTableService
    objects: HttpObjectStore


async def _rig(settings: PlatformSettings, *, timeout_s: float = PATIENT_S) -> Rig:
    platform = PlatformStandIn(settings=settings)
    await platform.start()
    caller = HttpCaller(
        base_url=f"http://127.0.0.1:{platform.port}", timeout_s=timeout_s
    )
    return Rig(
        platform=platform,
        caller=caller,
        table=HttpTableService(caller=caller),
        objects=HttpObjectStore(caller=caller),
    )


async def _close(rig: Rig) -> None:
    rig.platform.state.set_fault(PlatformFault())
    rig.caller.close()
    await rig.platform.close()


@pytest.fixture
async def rig() -> AsyncIterator[Rig]:
    rig = await _rig(PlatformSettings(write_ms=0, read_ms=0))
    yield rig
    await _close(rig)


@pytest.mark.parametrize(
    ("writes", "is_committed"),
    [
        ([Put(key="new", value="2", expected_version=0)], True),
        ([Put(key="old", value="2", expected_version=0)], False),
        ([Put(key="old", value="2", expected_version=1)], True),
        ([Put(key="old", value="2", expected_version=9)], False),
        ([Put(key="old", value="2")], True),
        ([Delete(key="old", expected_version=1)], True),
        ([Delete(key="old", expected_version=9)], False),
        (
            [Put(key="new", value="2"), Put(key="old", value="2", expected_version=0)],
            False,
        ),
    ],
)
async def test_transactions_are_conditional_and_whole(
    rig: Rig, writes: list[Write], is_committed: bool
) -> None:
    await rig.table.transact([Put(key="old", value="1", expected_version=0)])
    outcome = await rig.table.transact(writes)
    rows = (await rig.table.read(["old", "new"])).unwrap()
    if is_committed:
        assert isinstance(outcome.unwrap(), Committed)
        return
    conflict = outcome.failure()
    assert isinstance(conflict, Conflict)
    assert conflict.rows_by_key["old"].value == "1"
    assert {key: row.value for key, row in rows.items()} == {"old": "1"}


async def test_scan_goes_on_after_a_key(rig: Rig) -> None:
    keys = ["a/1", "a/2", "a/3", "b/1"]
    (await rig.table.transact([Put(key=key, value="") for key in keys])).unwrap()
    first = (await rig.table.scan("a/", 2)).unwrap()
    rest = (await rig.table.scan("a/", 2, after=first[-1].key)).unwrap()
    assert [row.key for row in [*first, *rest]] == ["a/1", "a/2", "a/3"]


async def test_lost_answer_is_told_from_a_refusal(rig: Rig) -> None:
    """The connection closes after the write took effect.

    The writer is told that the answer is lost, not that nothing was written;
    a read finds the row. A store that is down refuses, and nothing is written.
    """
    rig.platform.state.set_fault(PlatformFault(answer_lost_share=1.0))
    lost = await rig.table.transact([Put(key="k", value="1", expected_version=0)])
    assert isinstance(lost.failure(), AnswerLost)
    rig.platform.state.set_fault(PlatformFault(down=True))
    down = await rig.table.transact([Put(key="other", value="1")])
    assert isinstance(down.failure(), Unavailable)
    rig.platform.state.set_fault(PlatformFault())
    assert list((await rig.table.read(["k", "other"])).unwrap()) == ["k"]


async def test_hanging_store_ends_in_a_timeout() -> None:
    settings = PlatformSettings(write_ms=0, read_ms=0)
    rig = await _rig(settings, timeout_s=HANGING_S)
    rig.platform.state.set_fault(PlatformFault(hanging=True))
    write = await rig.table.transact([Put(key="k", value="1")])
    read = await rig.table.read(["k"])
    assert isinstance(write.failure(), AnswerLost)
    assert isinstance(read.failure(), Unavailable)
    await _close(rig)


async def test_limit_says_when_to_come_back() -> None:
    rig = await _rig(PlatformSettings(writes_per_s=1.0, write_ms=0))
    await rig.table.transact([Put(key="k", value="1")])
    match (await rig.table.transact([Put(key="k", value="2")])).failure():
        case Throttled(retry_after_s=retry_after_s):
            assert 0.0 < retry_after_s <= 1.0
        case other:
            raise AssertionError(other)
    assert rig.platform.state.counters.throttled == 1
    await _close(rig)


async def test_refused_connection_had_no_effect(rig: Rig) -> None:
    await rig.platform.close()
    outcome = await rig.table.transact([Put(key="k", value="1")])
    assert isinstance(outcome.failure(), Unavailable)


@pytest.mark.parametrize(
    "writes",
    [[], [Delete(key="")], [Put(key=str(number), value="") for number in range(1001)]],
)
async def test_malformed_transaction_is_misuse(rig: Rig, writes: list[Write]) -> None:
    outcome = await rig.table.transact(writes)
    assert isinstance(outcome.failure(), Misused)


async def test_service_refuses_what_is_no_request(rig: Rig) -> None:
    response = await rig.caller.call(HttpMethod.POST, "/table/read", body=b"garbage")
    assert isinstance(response.failure(), Misused)


async def test_objects(rig: Rig) -> None:
    key = "results/s 1"
    assert await rig.objects.get(key) == Failure(Missing(key=key))
    assert await rig.objects.put(key, b"\x00content") == Success(None)
    assert await rig.objects.get(key) == Success(b"\x00content")
    assert await rig.objects.delete(key) == Success(None)
    assert await rig.objects.get(key) == Failure(Missing(key=key))


async def test_host_list_is_read() -> None:
    host = {
        "host_id": "h",
        "host": "127.0.0.1",
        "port": 1,
        "failure_domain": "osu",
        "state": "leaving",
    }
    rig = await _rig(PlatformSettings.model_validate({"hosts": [host]}))
    hosts = (await HttpHostList(caller=rig.caller).hosts()).unwrap()
    assert [(entry.host_id, entry.state.value) for entry in hosts] == [("h", "leaving")]
    await _close(rig)
