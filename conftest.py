"""Passes over the tests of KNOWN-RED.txt, says which these are, and keeps pauses short.

A line there gives a test by its id, then its cause and issue behind `` | ``; lines
that begin with ``#`` are comments. A listed test that is not there any more fails the
run, so that no line outlives its fault.
"""

import gc
from pathlib import Path

import pytest

LIST = Path(__file__).parent / "KNOWN-RED.txt"


def known_red(text: str) -> dict[str, str]:
    """Return the reason of each listed test, by its id."""
    found: dict[str, str] = {}
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            test, _, reason = line.partition(" | ")
            found[test.strip()] = reason.strip()
    return found


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Take the listed tests out of a run."""
    listed = known_red(LIST.read_text() if LIST.exists() else "")
    passed_over = [item for item in items if item.nodeid in listed]
    for item in passed_over:
        print(f"known red: {item.nodeid}: {listed[item.nodeid]}")
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=passed_over)
    missing = _expected(config, listed) - {item.nodeid for item in passed_over}
    if missing:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {sorted(missing)}")


def _expected(config: pytest.Config, listed: dict[str, str]) -> set[str]:
    """Return the listed tests that a run of whole folders must have collected."""
    if config.getoption("keyword") or any("::" in arg for arg in config.args):
        return set()
    roots = [Path(arg).resolve() for arg in config.args]
    ignored = [Path(path).resolve() for path in config.getoption("ignore") or []]
    return {
        test
        for test in listed
        if _is_below(test, roots) and not _is_below(test, ignored)
    }


def _is_below(test: str, folders: list[Path]) -> bool:
    path = LIST.parent / test.partition("::")[0]
    return any(path.is_relative_to(folder) for folder in folders)


def pytest_collection_finish() -> None:
    """Leave what was imported and collected out of later garbage collections.

    Walking it all stands the one process still in which a test runs a whole fleet,
    for longer than a member may be silent: the test would see a failure that it did
    not cause.
    """
    gc.collect()
    gc.freeze()
