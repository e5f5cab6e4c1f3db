"""Tests of decoding the platform's messages, valid, malformed and random."""

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from cassiaturn.entities import DrainRequest, Resources, RunEnd, TaskRef
from cassiaturn.platform._decode import (
    decode_configuration,
    decode_job,
    decode_lease_report,
    decode_operator_row,
    decode_ref,
    decode_target,
    encode_ref,
    is_operator_key,
)
from cassiaturn.platform._documents import (
    AdviceReply,
    MachinesReply,
    WaveDocument,
)
from cassiaturn.platform.tests.fleet import CONFIGURATION

JOB_ID = "5c0e7a21d94b36f8"

WORDS = """
steps count cpu after running ended clockMs version routes service address capacity
"""

KEYS = st.sampled_from(WORDS.split())

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(KEYS, inner, max_size=5)
    ),
    max_leaves=12,
)


def test_every_field_of_a_job_is_read() -> None:
    step = {
        "count": 3,
        "cpu": 500,
        "memMb": 256,
        "gpu": 1,
        "estimatedMs": 900,
        "checkpointing": True,
        "gang": True,
        "sameRack": True,
        "requirements": "a",
        "affinity": "r1-3",
        "antiAffinity": 2,
        "speculative": True,
        "longRunning": True,
        "image": "web",
        "targetMs": 40,
        "fills": True,
        "mayMiss": 1,
    }
    document = {
        "taskSpec": "do",
        "steps": [step, {"count": 1, "after": [0]}],
        "bestEffort": True,
        "repetitions": 2,
        "startAtMs": 5,
        "intervalMs": 7,
        "surprise": {"x": 1},
    }
    request = decode_job(JOB_ID, json.dumps(document).encode()).unwrap()
    first, second = request.groups
    assert first.resources == Resources(cpu_millis=500, memory_mib=256, accelerators=1)
    assert first.expected_run_s == 0.9
    assert (first.required_label, first.preferred_rack) == ("a", "r1-3")
    assert (first.max_per_target, first.max_unavailable) == (2, 1)
    assert first.all_or_none
    assert first.same_rack
    assert first.checkpoints
    assert first.copies_allowed
    assert first.long_running
    assert first.fills_leftover
    assert first.latency_objective_s == 0.04
    assert second.after == (0,)
    assert not request.must_be_stored
    assert request.schedule is not None
    assert request.schedule.interval_ms == 7


@given(st.binary(max_size=200))
def test_any_bytes_decode_to_a_job_or_a_reason(body: bytes) -> None:
    match decode_job(JOB_ID, body):
        case Success(request):
            assert request.groups
        case Failure(reason):
            assert reason


@settings(max_examples=200)
@given(JSON)
def test_any_document_is_decoded_or_rejected(document: Any) -> None:
    body = json.dumps(document).encode()
    decode_job(JOB_ID, body)
    decode_lease_report(body)
    decode_configuration(body)
    decode_target("i-1", body)


def test_a_configuration_is_decoded_completely() -> None:
    table = decode_configuration(json.dumps(CONFIGURATION).encode())
    assert table is not None
    (route,) = table.routes
    assert (route.timeout_s, route.latency_objective_s) == (1.5, 0.06)
    assert (route.priority, route.max_attempts, route.stretch) == (0, 2, 1.6)
    assert table.services_by_name["svc"].admission_check
    assert table.find("quick.example", "/jobs/x") is route
    assert table.find("quick.example", "/job") is None
    assert decode_configuration(table.document) == table


def test_the_longest_prefix_of_the_host_wins() -> None:
    base = CONFIGURATION["routes"]
    assert isinstance(base, list)
    routes = [
        {**base[0], "name": "long", "prefix": "/jobs/deep/"},
        base[0],
        {**base[0], "name": "other", "host": "other.example", "prefix": "/jobs/deep/x"},
    ]
    table = decode_configuration(
        json.dumps({**CONFIGURATION, "routes": routes}).encode()
    )
    assert table is not None
    found = table.find("quick.example", "/jobs/deep/x1")
    assert found is not None
    assert found.name == "long"


def test_a_lease_report_with_and_without_recent_load() -> None:
    body = {
        "clockMs": 12,
        "running": [
            [f"{JOB_ID}.0.1.17", 2, "00ab", 41],
            [f"{JOB_ID}.0.0.3", 1, "", 7.5, 500],
        ],
        "ended": [[58, f"{JOB_ID}.0.1.9", 1, "lapsed", ""]],
    }
    report = decode_lease_report(json.dumps(body).encode())
    assert report is not None
    assert report.running[0].ref == TaskRef(JOB_ID, 0, 1, 17)
    assert report.running[1].recent_load == 500
    assert report.ended[0].end is RunEnd.LEASE_EXPIRED


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'{"clockMs":1,"running":[["x",1,"",1]],"ended":[]}',
        b'{"clockMs":1,"running":[["a.0.0.0",1,"",1e999]],"ended":[]}',
        b'{"clockMs":1,"running":[],"ended":[[1,"a.0.0.0",1,"vanished",""]]}',
    ],
)
def test_a_malformed_lease_report_is_none(body: bytes) -> None:
    assert decode_lease_report(body) is None


def test_a_draining_target_is_leaving() -> None:
    entry = {
        "service": "s",
        "address": "10.0.0.9:1",
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "draining",
        "coldRemainingMs": 0,
        "capacity": {"cpu": 1},
        "labels": ["a"],
        "sequence": 1,
    }
    report = decode_target("i-1", json.dumps(entry).encode())
    assert report is not None
    assert report.leaving
    assert report.labels == {"a"}


@given(st.integers(0, 99), st.integers(0, 99), st.integers(0, 9_999))
def test_task_names_round_trip(k: int, group: int, index: int) -> None:
    ref = TaskRef(JOB_ID, k, group, index)
    assert decode_ref(encode_ref(ref)) == ref


def test_hosts_waves_and_advice_are_read() -> None:
    host = {"machine": "m-1", "pool": "svc", "state": "upkeep", "id": None}
    body = json.dumps({"machines": [host], "nextToken": None})
    assert MachinesReply.model_validate_json(body).machines[0].state == "upkeep"
    wave = WaveDocument.model_validate_json('{"wave":1,"machines":["m"],"maxCount":2}')
    assert (wave.max_count, wave.machines) == (2, ["m"])
    advice = AdviceReply.model_validate_json('{"good":[["i-1","t"]],"validMs":3000}')
    assert advice.good == [("i-1", "t")]


@pytest.mark.parametrize("document", [b"", b"{}", b"null", b"{", b"\xff\x00", b"[1]"])
def test_a_drain_holds_whatever_its_row_contains(document: bytes) -> None:
    """Guards against starts on a drained domain whose row is empty or malformed."""
    assert is_operator_key("evacuate/osu")
    request = decode_operator_row("evacuate/osu", document)
    assert request == DrainRequest(failure_domain="osu")


def test_rows_that_concern_others_are_not_read() -> None:
    keys = ["config", "evacuate/osu", "evacuate/", "wave/1", "evacuate", "config/2", ""]
    assert [key for key in keys if is_operator_key(key)] == keys[:3]
    assert decode_operator_row("evacuate/", b"{}") is None


@given(key=st.text(max_size=30), document=st.binary(max_size=60))
@settings(max_examples=200, deadline=None)
def test_any_operator_row_is_decoded_or_malformed(key: str, document: bytes) -> None:
    """Guards against a member that ends at an unexpected row."""
    drain = decode_operator_row(f"evacuate/{key}", document)
    assert drain == (DrainRequest(failure_domain=key) if key else None)
    decode_operator_row("config", document)
