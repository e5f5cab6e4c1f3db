"""Tests that only the adapter uses the platform's names, and that it stays small."""

import re
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2]

ADAPTER = SOURCE / "platform"

WIRE_NAMES = re.compile(
    r"X-Cassiaturn-|/api/(?:run-|hold|pace|advise|rows-|blob-|machine|readiness)"
    r"|\b(?:taskSpec|lastSeen|rowVersion|clockMs|fencingToken|deadlineMs|bestEffort"
    r"|coldRemainingMs|estimatedMs|antiAffinity|memMb|waitMs|maxAttempts"
    r"|targetLatencyMs|admissionCheck|checkpointing|longRunning|mayMiss|nowMs)\b"
)

MAX_LINES = 1_500
"""Limit on the adapter's lines without tests: it only translates messages."""


def _sources() -> list[Path]:
    return [path for path in SOURCE.rglob("*.py") if ADAPTER not in path.parents]


def test_wire_names_appear_only_in_the_adapter() -> None:
    sources = _sources()
    assert len(sources) > 200
    found = [
        f"{path.relative_to(SOURCE)}: {match.group()}"
        for path in sources
        if (match := WIRE_NAMES.search(path.read_text()))
    ]
    assert not found


def test_only_process_startup_imports_the_adapter() -> None:
    users = {
        str(path.relative_to(SOURCE))
        for path in _sources()
        if "cassiaturn.platform" in path.read_text()
    }
    assert users == {"serving/_serve.py"}


def test_the_adapter_stays_small() -> None:
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
    assert lines < MAX_LINES
