from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from cassiaturn.entities import RequestClass
from cassiaturn.settings import Address, SettingsErrors, load_instance_settings

VALID = """\
instance_id: osu-1
failure_domain: osu
listen: 10.0.1.4:7400
http: "[fd00::4]:7401"
schemas: [props.binpb]
configuration_file: shared.yaml
peers:
- {instance_id: osu-2, address: "10.0.1.5:7400", failure_domain: osu}
targets:
- target_id: runner-1
  address: 10.0.2.1:7500
  failure_domain: osu
  worker: worker-1
  resources: {cpu_millis: 16000}
"""


def errors_of(path: Path) -> SettingsErrors:
    return load_instance_settings(path).failure()


def test_values_and_defaults_are_read(tmp_path: Path) -> None:
    path = tmp_path / "osu-1.yaml"
    path.write_text(VALID)
    loaded = load_instance_settings(path).unwrap()
    assert str(loaded.listen) == "10.0.1.4:7400"
    assert loaded.http == Address(host="fd00::4", port=7401)
    assert loaded.schemas == (tmp_path / "props.binpb",)
    assert loaded.configuration_file == tmp_path / "shared.yaml"
    assert loaded.targets[0].slots == 8
    assert loaded.targets[0].resources.cpu_millis == 16000
    assert loaded.limits.max_tasks_per_job == 750


def test_a_class_that_is_not_given_keeps_its_default(tmp_path: Path) -> None:
    path = tmp_path / "osu-1.yaml"
    path.write_text(VALID + "policy: {admission: {max_wait_s_by_class: {urgent: 1.5}}}")
    loaded = load_instance_settings(path).unwrap()
    assert loaded.policy.admission.max_wait_s_by_class == {
        RequestClass.URGENT: 1.5,
        RequestClass.NORMAL: 10.0,
        RequestClass.BATCH: 60.0,
    }


@pytest.mark.parametrize(
    ("changed", "key", "value", "allowed"),
    [
        ("listen: localhost:7400", "listen", "localhost", "an IP number"),
        ("listen: 10.0.1.4", "listen", "10.0.1.4", "an IP number"),
        ("listen: 10.0.1.4:70000", "listen", "70000", "0 to 65535"),
        ("listen: user@10.0.1.4:7400", "listen", "user@", "an IP number"),
        ("instance_id: Osu 1", "instance_id", "Osu 1", "match pattern"),
        ("schemas: []", "schemas", "[]", "at least 1 item"),
        ("limits: {max_tasks: 4}", "limits.max_tasks", "4", "max_tasks_per_job"),
        ("limits: {max_job_bytes: 0}", "limits.max_job_bytes", "0", "greater than 0"),
        ("limits: {max_job_bytes: yes}", "limits.max_job_bytes", "True", "integer"),
        ("limits: 4", "limits", "4", "max_tasks_per_job"),
        ("timings: {suspect_after_ms: 3500}", "timings", "3500", "at least twice"),
        ("timings: {gone_after_ms: 3800}", "timings", "3800", "above suspect_after_ms"),
        ("timings: {tick_ms: 1801}", "timings", "1801", "not be above heartbeat_ms"),
        ("timings: {lease_ms: 900}", "timings", "900", "lease_ms must be above"),
        ("limits: {store_writes_per_s: .inf}", "limits.store_writes_per_s", "inf", ""),
        ("limits: {ticket_valid_ms: 120000}", "limits", "120000", "above ticket_valid"),
        ("limits: {max_payload_bytes: 9000000}", "limits", "90", "below max_payload"),
        ("policy: {order: {wait: 1}}", "policy.order.wait", "1", "default_weight"),
        ("policy: {order: 1}", "policy.order", "1", "default_weight"),
        ("policy: {retries: {share: 2}}", "policy", "2", "share: 2.0 must be from 0"),
        ("policy: {health: {tick_s: .nan}}", "policy", "nan", "tick_s: nan must be"),
        (
            "policy: {order: {floor_by_class: {rushed: 1}}}",
            "policy",
            "rushed",
            "order.floor_by_class: 'rushed' is not one of: urgent, normal, batch",
        ),
        (
            "policy: {order: {floor_by_class: {urgent: 1}}}",
            "policy",
            "urgent",
            "urgent cannot be set here",
        ),
        ("platform: {table_url: ftp://a}", "platform.table_url", "ftp", "pattern"),
        ("otlp_endpoint: collector", "otlp_endpoint", "collector", "pattern"),
        ("peer: []", "peer", "[]", "unknown key; allowed here: instance_id"),
    ],
)
def test_each_wrong_value_is_named(
    tmp_path: Path, changed: str, key: str, value: str, allowed: str
) -> None:
    name = changed.partition(":")[0]
    kept = [line for line in VALID.splitlines() if not line.startswith(f"{name}:")]
    path = tmp_path / "wrong.yaml"
    path.write_text("\n".join([*kept, changed]))
    (error,) = errors_of(path).errors
    assert error.file == str(path)
    assert error.key == key
    assert value in error.value
    assert allowed in error.allowed


def test_all_errors_are_named_at_once(tmp_path: Path) -> None:
    path = tmp_path / "wrong.yaml"
    path.write_text(
        "listen: here\n"
        "targets: [{target_id: a, slots: '8'}]\n"
        "timings: {heartbeat_ms: 5000}\n"
        "unknown: 1\n"
    )
    keys = [error.key for error in errors_of(path).errors]
    assert set(keys) == {
        "instance_id",
        "failure_domain",
        "listen",
        "http",
        "schemas",
        "targets.0.address",
        "targets.0.failure_domain",
        "targets.0.worker",
        "targets.0.slots",
        "timings",
        "unknown",
    }


@pytest.mark.parametrize(
    ("added", "key", "allowed"),
    [
        (
            "peers: [{instance_id: osu-1, address: '1.2.3.4:5', failure_domain: a}]",
            "(whole document)",
            "must not list the instance itself (osu-1)",
        ),
        (
            "peers:\n"
            "- {instance_id: p, address: '1.2.3.4:5', failure_domain: a}\n"
            "- {instance_id: p, address: '1.2.3.4:6', failure_domain: a}",
            "peers",
            "repeated: p",
        ),
        (
            "targets: [{target_id: a, address: '1.2.3.4:5', failure_domain: b, "
            "worker: c, resources: {memory_mib: -1}}]",
            "targets.0.resources",
            "0 or more each",
        ),
        ("listen: 1.2.3.4:5", "(whole document)", "each key once"),
    ],
)
def test_entries_that_contradict_are_refused(
    tmp_path: Path, added: str, key: str, allowed: str
) -> None:
    path = tmp_path / "wrong.yaml"
    path.write_text(VALID.partition("peers:")[0] + added)
    (error,) = errors_of(path).errors
    assert error.key == key
    assert allowed in f"{error.value} {error.allowed}"


@pytest.mark.parametrize(
    "content", [b"", b"[]", b"\xff\xfe", b"a: [", b"? [a]\n: b", b"&a [*a]", b"- !x y"]
)
def test_a_file_that_is_no_mapping_is_an_error(tmp_path: Path, content: bytes) -> None:
    path = tmp_path / "wrong.yaml"
    path.write_bytes(content)
    assert errors_of(path).errors


def test_a_missing_file_is_an_error(tmp_path: Path) -> None:
    (error,) = errors_of(tmp_path / "missing.yaml").errors
    assert "missing.yaml" in error.file


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    content=st.one_of(
        st.binary(max_size=200),
        st.text(alphabet="abc:[]{}&*!?-#|>\"'\n ,0123456789~", max_size=200).map(
            str.encode
        ),
    )
)
def test_any_bytes_give_settings_or_errors(tmp_path: Path, content: bytes) -> None:
    path = tmp_path / "any.yaml"
    path.write_bytes(content)
    assert isinstance(load_instance_settings(path), Success | Failure)


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    at=st.integers(min_value=0, max_value=len(VALID)),
    removed=st.integers(min_value=0, max_value=12),
    added=st.text(alphabet="a:-[]{}'\"\n 0.~", max_size=6),
)
def test_any_edit_gives_settings_or_errors(
    tmp_path: Path, at: int, removed: int, added: str
) -> None:
    path = tmp_path / "edited.yaml"
    path.write_text(VALID[:at] + added + VALID[at + removed :])
    match load_instance_settings(path):
        case Failure(errors):
            assert all(e.file and e.key and e.allowed for e in errors.errors)
        case loaded:
            assert loaded.unwrap().instance_id
