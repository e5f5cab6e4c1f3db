"""Tests what a link keeps of its target while processes of it come and go."""

import time

import pytest

from cassiaturn.entities import Resources, TargetReport
from cassiaturn.fleet._directory import Directory
from cassiaturn.fleet._lease_clock import LeaseClock
from cassiaturn.fleet._target_life import TargetLife
from cassiaturn.workload import WorkloadSettings

SETTINGS = WorkloadSettings()

EARLIER_CLOCK_MS = 480_000
"""Clock of a process that has been up for eight minutes, in milliseconds."""

NEW_CLOCK_MS = 3_000
"""Clock of the process after it, in milliseconds."""


def _life() -> TargetLife:
    life = TargetLife(clock=LeaseClock(settings=SETTINGS), incarnation=1)
    life.clock.observe(EARLIER_CLOCK_MS, time.monotonic())
    return life


def test_a_lease_after_a_restart_counts_by_the_new_clock() -> None:
    """Guards against orders that stay in time for as long as a target was up before."""
    life = _life().successor(2, NEW_CLOCK_MS, SETTINGS)
    assert life.grant(time.monotonic()) is None
    life.clock.observe(NEW_CLOCK_MS, time.monotonic())
    grant = life.grant(time.monotonic())
    assert grant is not None
    assert grant.until_ms == pytest.approx(NEW_CLOCK_MS + 1_000, abs=50)


@pytest.mark.parametrize(
    ("sent_s_ago", "is_answered", "is_listed_since", "stays_open"),
    [
        (1.0, False, False, True),  # the new process may still carry it out
        (1.0, True, False, False),  # it has been carried out
        (1.0, False, True, False),  # the earlier process had it, and has ended
        (4.0, False, False, False),  # sent before the new process began
    ],
)
def test_leases_are_over_once_no_open_order_can_extend_them(
    sent_s_ago: float, is_answered: bool, is_listed_since: bool, stays_open: bool
) -> None:
    """Guards against a run that an order of the earlier clock prolongs or begins."""
    life = _life()
    now = time.monotonic()
    grant = life.grant(now)
    assert grant is not None
    grant.sent_at = now - sent_s_ago
    grant.is_answered = is_answered
    if is_listed_since:
        life.note_list(now)
    new = life.successor(2, NEW_CLOCK_MS, SETTINGS)
    over_in_s = new.clock.leases_over_at - now
    open_s = (EARLIER_CLOCK_MS - NEW_CLOCK_MS) / 1000
    assert (over_in_s > open_s) is stays_open
    if not stays_open:
        assert over_in_s == pytest.approx(SETTINGS.lease_over_s, abs=0.05)


def _report(incarnation: int, sequence: int) -> TargetReport:
    return TargetReport(
        target_id="t",
        address="127.0.0.1:1",
        service="svc",
        failure_domain="a",
        capacity=Resources(cpu_millis=1_000 * incarnation),
        incarnation=incarnation,
        sequence=sequence,
    )


@pytest.mark.parametrize(
    ("incarnation", "sequence", "listed", "is_used"),
    [
        (2, 39, 0, True),  # a restarted target counts its reports anew
        (2, 1, 0, True),
        (1, 39, 0, False),  # a stale read of one process
        (1, 41, 0, True),
        (0, 60, 0, False),  # a stale read of an earlier process
        (0, 1, 0, False),
    ],
)
def test_reports_compare_within_one_process(
    incarnation: int, sequence: int, listed: int, is_used: bool
) -> None:
    """Guards against the capacity, labels and state of a process that has ended."""
    directory = Directory(reports_by_id={"t": _report(1, 40)})
    new = _report(incarnation, sequence)
    directory.put(new, listed_incarnation=listed)
    known = directory.reports_by_id["t"]
    assert (known.sequence == sequence) is is_used


def test_the_process_that_answers_is_believed() -> None:
    """Guards against an entry of another writer that hides a target for good.

    The time of day of its host may also have been set back before it restarted.
    """
    directory = Directory(reports_by_id={"t": _report(9, 40)})
    directory.put(_report(2, 1), listed_incarnation=2)
    assert directory.reports_by_id["t"].incarnation == 2
