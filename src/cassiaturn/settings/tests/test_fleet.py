"""Settings of a member of the fleet, as operators' templates fill them in."""

from pathlib import Path

import pytest
from returns.result import Failure, Success

from cassiaturn.settings import load_fleet_settings

BASE = """
kind: fleet
member_name: front-1
failure_domain: a
callers: 127.0.0.1:1
readiness: 127.0.0.1:2
members: 127.0.0.1:3
metrics: 127.0.0.1:4
table_service: 127.0.0.1:5
"""


def _load(tmp_path: Path, more: str):  # type: ignore[no-untyped-def]
    path = tmp_path / "settings.yaml"
    path.write_text(BASE + more)
    return load_fleet_settings(path)


@pytest.mark.parametrize(
    ("more", "grace_s", "lease_ms"),
    [
        ("", 6.0, 1_000.0),
        ("grace_s: 6.5\nlease_ms: 750\norders: call\n", 6.5, 750.0),
        ('grace_s: 6\nlease_ms: 750.5\norders: ""\n', 6.0, 750.5),
    ],
)
def test_figures_may_be_whole_or_fractions(
    tmp_path: Path, more: str, grace_s: float, lease_ms: float
) -> None:
    match _load(tmp_path, more):
        case Success(settings):
            assert settings.grace_s == grace_s
            assert settings.lease_ms == lease_ms
        case problem:
            raise AssertionError(problem)


@pytest.mark.parametrize("more", ["orders: heartbeat\n", "lease_ms: 0\n"])
def test_what_cannot_be_served_is_refused_at_the_start(
    tmp_path: Path, more: str
) -> None:
    """A member that gave orders nobody fetches would take jobs and start nothing."""
    result = _load(tmp_path, more)
    assert isinstance(result, Failure)
    assert more.partition(":")[0] in str(result.failure())
