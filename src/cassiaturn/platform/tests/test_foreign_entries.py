"""Tests of malformed or foreign directory entries and leader rows."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaturn.fleet._leadership import Leadership
from cassiaturn.platform._decode import decode_configuration, decode_target
from cassiaturn.platform.tests.fleet import CONFIGURATION, Fleet

GOOD: dict[str, Any] = {
    "service": "svc",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482_113,
    "sequence": 4,
}

LEADERSHIP = Leadership(token=1 << 30, term=3, member_id="m", address="10.0.0.1:7720")

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner)
    ),
    max_leaves=6,
)


def _read(entry: object) -> object:
    return decode_target("i-1", json.dumps(entry).encode())


def test_a_valid_entry_is_decoded() -> None:
    assert _read(GOOD) is not None
    assert _read({**GOOD, "state": "draining"}) is not None
    assert _read({**GOOD, "somethingNew": [1]}) is not None


@pytest.mark.parametrize("field", sorted(GOOD.keys() - {"clockMs"}))
def test_an_entry_with_a_missing_field_is_rejected(field: str) -> None:
    assert _read({key: value for key, value in GOOD.items() if key != field}) is None


@pytest.mark.parametrize(
    "change",
    [
        {"state": "paused"},
        {"state": "READY"},
        {"state": 1},
        {"service": ""},
        {"service": 7},
        {"address": 8080},
        {"address": "10.128.0.9"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:99999"},
        {"address": "10.128.0.9:8080/x"},
        {"address": "somewhere:8080"},
        {"zone": None},
        {"slots": "8"},
        {"sequence": "4"},
        {"sequence": None},
        {"coldRemainingMs": "0"},
        {"capacity": None},
        {"capacity": {}},
        {"capacity": 16_000},
        {"capacity": {"cpu": "16000", "memMb": 1, "gpu": 0}},
        {"capacity": {"cpu": -1, "memMb": 1, "gpu": 0}},
        {"capacity": {"cpu": 10**30, "memMb": 1, "gpu": 0}},
        {"labels": "a"},
        {"labels": [1]},
        {"labels": None},
    ],
)
def test_an_entry_with_an_invalid_field_is_rejected(
    change: dict[str, Any],
) -> None:
    assert _read({**GOOD, **change}) is None


@pytest.mark.parametrize("target_id", ["maszyna-łódź-1", "i-1\r\nHost: a", "i\x00"])
def test_an_id_that_no_header_can_carry_names_no_target(target_id: str) -> None:
    """Guards against orders that cannot be written."""
    assert decode_target(target_id, json.dumps(GOOD).encode()) is None


@settings(max_examples=300)
@given(st.sampled_from(sorted(GOOD)), JSON)
def test_any_field_value_is_decoded_or_rejected(field: str, value: Any) -> None:
    report = decode_target("i-1", json.dumps({**GOOD, field: value}).encode())
    if report is not None:
        assert report.service
        assert report.address.count(":") >= 1
        assert 0 < report.capacity.cpu_millis < 2**63


@given(st.binary(max_size=300))
def test_random_bytes_are_rejected(document: bytes) -> None:
    assert decode_target("i-1", document) is None


@pytest.mark.parametrize("depth", [10, 100_000])
def test_deeply_nested_documents_are_rejected(depth: int) -> None:
    document = b"[" * depth + b"]" * depth
    assert decode_target("i-1", document) is None
    assert decode_configuration(document) is None
    assert Leadership.from_value(document.decode()) is None


@settings(max_examples=300)
@given(st.sampled_from(["token", "term", "member_id", "address"]), JSON)
def test_any_leader_row_is_decoded_or_rejected(field: str, value: Any) -> None:
    """Guards against a value out of range that ends each process that reads the row.

    Every member that loses its leader reads a row that another writer made. Its numbers
    are sent to other members as 64-bit integers, and its address is connected to.
    """
    row = {**json.loads(LEADERSHIP.to_value(1)), field: value}
    leadership = Leadership.from_value(json.dumps(row))
    if leadership is not None:
        assert 0 < leadership.token < 2**63
        assert 0 <= leadership.term < 2**32
        assert leadership.address.rpartition(":")[2].isdigit()


async def test_foreign_entries_do_not_affect_callers(fleet: Fleet) -> None:
    """Guards against using directory entries that no target wrote.

    Entries with a service that is not configured, an unknown state, missing or
    mistyped fields, or random bytes are listed beside those of four targets. If one
    counted as a target, the process at its address would be sent callers' jobs, and a
    leader that waits for its list of runs would start nothing.
    """
    stranger = {**fleet.runners[0].entry(), "address": "127.0.0.1:9"}
    foreign: dict[str, object] = {
        "f-service": {**stranger, "service": "unnamed"},
        "f-state": {**stranger, "state": "warming"},
        "f-type": {**stranger, "capacity": "large"},
        "f-missing": {"service": "svc", "address": "127.0.0.1:9"},
        "f-bytes": "\x00\ufffd{",
        "f-list": [1, 2],
        "maszyna-łódź-1": stranger,
        "f-line\r\nend": stranger,
    }
    for key, entry in foreign.items():
        fleet.store.state.put("servers", key, entry)
    # The new leader reads the whole list, the old one read only changes.
    await fleet.kill(fleet.leader())
    await fleet.until(lambda: all(member.member.is_ready for member in fleet.members))
    await fleet.until(lambda: fleet.count_reporting_targets() == 4)
    leader = fleet.leader().member.leader
    assert leader is not None
    assert set(leader.tables.targets_by_id) == {f"i-{index}" for index in range(4)}
    status, _, _ = await fleet.submit(fleet.members[0], "5c0e7a21d94b36f8", count=8)
    assert status == 200


async def test_a_target_is_used_once_its_service_is_configured(
    fleet: Fleet,
) -> None:
    """Guards against never using a target that is registered before its service.

    It gets work as soon as the service is configured, and none after its removal.
    """
    runner = fleet.runners[0]
    entry = {**runner.entry(), "service": "later"}
    fleet.store.state.put("servers", runner.target.target_id, entry)
    # A known target moves to a service that is not configured.
    leader = fleet.leader().member.leader
    assert leader is not None
    fleet.store.state.put("servers", "i-9", {**entry, "address": "127.0.0.1:9"})
    fleet.store.state.put("op", "config", {**CONFIGURATION, "version": 4})
    await fleet.until(lambda: "i-9" in leader.reports_by_id)
    assert "i-9" not in leader.tables.targets_by_id
    services = [*CONFIGURATION["services"], {"name": "later"}]  # type: ignore[misc]
    document = {**CONFIGURATION, "version": 5, "services": services}
    fleet.store.state.put("op", "config", document)
    await fleet.until(lambda: "i-9" in leader.tables.targets_by_id)
    fleet.store.state.put("op", "config", {**CONFIGURATION, "version": 6})
    await fleet.until(lambda: "i-9" not in leader.tables.targets_by_id)
