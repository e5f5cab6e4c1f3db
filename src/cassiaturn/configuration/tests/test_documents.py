from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from cassiaturn.configuration import (
    ConfigurationContent,
    Guards,
    SharedConfiguration,
    from_json,
    from_version_json,
    load_content,
    to_json,
    to_yaml,
)
from cassiaturn.configuration.tests.fakes import configuration, content
from cassiaturn.entities import RequestClass
from cassiaturn.policy import PolicySettings

VALID = """\
tenants:
- {name: counters, weight: 2, quota_slots: 96}
- {name: guild, quota_slots: 48}
classes:
  urgent: {max_wait_ms: 1500}
guards: {ejection: false, retries: false}
drained_targets: [runner-7]
drained_failure_domains: [osu]
note: rally morning
"""


def load(path: Path, text: str) -> ConfigurationContent:
    path.write_text(text)
    return load_content(path).unwrap()


def test_what_an_operator_writes_is_read_and_written_back(tmp_path: Path) -> None:
    path = tmp_path / "shared.yaml"
    loaded = load(path, VALID)
    assert [tenant.weight for tenant in loaded.tenants] == [2.0, 1.0]
    assert loaded.classes[RequestClass.URGENT].max_wait_ms == 1500
    assert load(path, to_yaml(loaded)) == loaded
    shared = SharedConfiguration(version=4, author="ama", content=loaded)
    assert from_json("key", to_json(shared)).unwrap() == shared


@pytest.mark.parametrize(
    ("text", "key", "allowed"),
    [
        ("tenants: []", "tenants", "at least 1 item"),
        ("{}", "tenants", "must be given"),
        ("tenants: [{name: a}]", "tenants.0.quota_slots", "must be given"),
        ("tenants: [{name: a, quota_slots: 0}]", "tenants.0.quota_slots", "than 0"),
        (
            "tenants: [{name: a, quota_slots: 1, weight: .inf}]",
            "tenants.0.weight",
            "finite",
        ),
        (
            "tenants: [{name: a, quota_slots: 1}, {name: a, quota_slots: 1}]",
            "tenants",
            "repeated: a",
        ),
        (
            "tenants: [{name: a, quota_slots: 1}]\nclasses: {rushed: {}}",
            "classes.rushed.[key]",
            "one of: urgent, normal, batch",
        ),
        (
            "tenants: [{name: a, quota_slots: 1}]\nguards: {ejction: true}",
            "guards.ejction",
            "allowed here: ejection, retries",
        ),
        (
            "tenants: [{name: a, quota_slots: 1}]\nguards: {ejection: 'no'}",
            "guards.ejection",
            "valid boolean",
        ),
        (
            "tenants: [{name: a, quota_slots: 1}]\nversion: 3",
            "version",
            "unknown key; allowed here: tenants",
        ),
    ],
)
def test_each_wrong_value_is_named(
    tmp_path: Path, text: str, key: str, allowed: str
) -> None:
    path = tmp_path / "shared.yaml"
    path.write_text(text)
    (error,) = load_content(path).failure().errors
    assert error.key == key
    assert allowed in error.allowed


@settings(max_examples=200, deadline=None, derandomize=True)
@given(text=st.text(max_size=100))
def test_any_text_in_a_row_is_a_value_or_an_error(text: str) -> None:
    for parsed in (from_json("key", text), from_version_json(text)):
        if not is_successful(parsed):
            assert len(parsed.failure().detail.splitlines()) == 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    at=st.integers(min_value=0, max_value=150),
    removed=st.integers(min_value=0, max_value=8),
    added=st.text(alphabet='{}[]":,0-9aé\n\0', max_size=4),
)
def test_any_edit_of_a_row_is_a_value_or_an_error(
    at: int, removed: int, added: str
) -> None:
    text = to_json(configuration(3))
    parsed = from_json("key", text[:at] + added + text[at + removed :])
    if not is_successful(parsed):
        assert len(parsed.failure().detail.splitlines()) == 1


def test_drained_failure_domains_are_part_of_the_content() -> None:
    drained = content().with_domain_drain("osu", drained=True)
    drained = drained.with_domain_drain("makola", drained=True)
    assert drained.drained_failure_domains == ("makola", "osu")
    assert drained.with_domain_drain("osu", drained=True) == drained
    active = drained.with_domain_drain("osu", drained=False)
    assert active.drained_failure_domains == ("makola",)
    assert active.with_domain_drain("makola", drained=False) == content()


def test_drains_are_part_of_the_content() -> None:
    drained = content().with_drain("runner-2", drained=True)
    drained = drained.with_drain("runner-1", drained=True)
    assert drained.drained_targets == ("runner-1", "runner-2")
    assert drained.with_drain("runner-1", drained=True) == drained
    assert drained.with_drain("runner-1", drained=False).drained_targets == (
        "runner-2",
    )


def test_shared_values_take_the_place_of_the_instances_own(tmp_path: Path) -> None:
    loaded = load(tmp_path / "shared.yaml", VALID)
    policy = SharedConfiguration(version=1, content=loaded).applied_to(PolicySettings())
    assert policy.admission.max_wait_s_by_class[RequestClass.URGENT] == 1.5
    assert policy.admission.max_wait_s_by_class[RequestClass.BATCH] == 60.0
    assert policy.health.ejected_share == 0.0
    assert policy.retries.max_attempts == 1
    assert loaded.guards != Guards()
    assert configuration(1).applied_to(PolicySettings()) == PolicySettings()
