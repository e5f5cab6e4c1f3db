"""Tests the directory of targets with entries read late or out of order."""

from dataclasses import replace

import pytest

from cassiaturn.entities import Resources, TargetReport
from cassiaturn.fleet._codec import from_target, to_target
from cassiaturn.fleet._digests import Digests
from cassiaturn.fleet._directory import Directory

FULL = Resources(cpu_millis=16_000, memory_mib=64_000)
SHRUNK = Resources(cpu_millis=4_000, memory_mib=64_000)

REPORT = TargetReport(
    target_id="t",
    address="127.0.0.1:1",
    service="svc",
    failure_domain="a",
    capacity=FULL,
    sequence=40,
)

NEWER = replace(REPORT, capacity=SHRUNK, leaving=True, sequence=41)


def test_stale_read_does_not_replace_a_newer_report() -> None:
    """A new leader's stale first read restored a shrunk worker's old capacity."""
    directory = Directory(reports_by_id={"t": NEWER})
    assert not directory.put(REPORT)
    assert directory.reports_by_id["t"] == NEWER


@pytest.mark.parametrize("sequence", [42, 41, 41 - 1_000, 0])
def test_reports_other_than_stale_reads_are_accepted(sequence: int) -> None:
    """A sequence that another writer had set in an entry blocked all later reports."""
    directory = Directory(reports_by_id={"t": NEWER})
    assert directory.put(replace(REPORT, sequence=sequence))
    assert directory.reports_by_id["t"].capacity == FULL


def test_report_that_differs_only_in_its_sequence_is_no_change() -> None:
    directory = Directory(reports_by_id={"t": NEWER})
    assert not directory.put(replace(NEWER, sequence=50))


def test_sequence_of_a_report_is_sent_to_followers() -> None:
    assert to_target(from_target(NEWER)).sequence == NEWER.sequence


def test_lists_that_differ_only_in_sequences_are_not_sent_again() -> None:
    """A new leader would send its whole list: sequences differ in every report."""
    ours, theirs = Digests(), Digests()
    ours.put(from_target(NEWER))
    theirs.put(from_target(replace(NEWER, sequence=48)))
    assert not ours.differing(theirs.by_bucket)
