"""The directory of targets, whose entries may be read late and out of order."""

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


def test_a_read_that_lags_behind_does_not_undo_what_a_target_said() -> None:
    """A new leader's first read gave a shrunk worker its old capacity back."""
    directory = Directory(reports_by_id={"t": NEWER})
    assert not directory.put(REPORT)
    assert directory.reports_by_id["t"] == NEWER


@pytest.mark.parametrize("sequence", [42, 41, 41 - 1_000, 0])
def test_other_reports_are_taken_in(sequence: int) -> None:
    """A number that another writer had put into an entry held up all that followed."""
    directory = Directory(reports_by_id={"t": NEWER})
    assert directory.put(replace(REPORT, sequence=sequence))
    assert directory.reports_by_id["t"].capacity == FULL


def test_a_report_that_differs_in_its_number_alone_is_no_change() -> None:
    directory = Directory(reports_by_id={"t": NEWER})
    assert not directory.put(replace(NEWER, sequence=50))


def test_the_number_of_a_report_is_handed_on_to_followers() -> None:
    assert to_target(from_target(NEWER)).sequence == NEWER.sequence


def test_lists_that_differ_in_numbers_alone_are_not_sent_again() -> None:
    """Every member would ask a new leader for the whole list."""
    ours, theirs = Digests(), Digests()
    ours.put(from_target(NEWER))
    theirs.put(from_target(replace(NEWER, sequence=48)))
    assert not ours.differing(theirs.by_bucket)
