"""Tests of the rate of starts and of the shares that members refuse."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.sharing import (
    Lateness,
    StartBacklog,
    StartDemand,
    StartRate,
    is_in_shed_share,
    shares_by_priority,
)

TICK_S = 0.05

HEARTBEAT_TICKS = 3

START_S = 0.0004

TASKS = 8

START_IN_S = 0.1
"""Time within which a job must start to be in time, in seconds."""


class _Members:
    """Members that submit jobs of 8 tasks, and a leader whose processor limits it."""

    def __init__(self) -> None:
        self.backlog = StartBacklog()
        self.demand = StartDemand()
        self._ticks = 0
        self._known: dict[int, float] = {}
        self._rng = random.Random(4)
        self._ids = 0
        self._unstarted = 0

    def run(self, seconds: float, starts_per_s: float) -> list[float]:
        """Return the refused share of the requested starts in each tick."""
        refused_shares: list[float] = []
        for _ in range(round(seconds / TICK_S)):
            jobs = round(starts_per_s * TICK_S / TASKS)
            refused = 0
            for _ in range(jobs):
                self._ids += 1
                job_id = f"job-{self._ids}"
                priority = self._rng.randrange(3)
                if is_in_shed_share(job_id, self._known.get(priority, 0.0)):
                    refused += 1
                    continue
                now = (self._ticks + 0.5) * TICK_S
                self.demand.note(job_id, priority=priority, starts=TASKS, now=now)
                self._unstarted += TASKS
            started = min(self._unstarted, int(TICK_S / START_S))
            self._unstarted -= started
            self._ticks += 1
            self._note_tick(started, (self._ticks + 0.2) * TICK_S)
            if self._ticks % HEARTBEAT_TICKS == 0:
                self._known = self.demand.shares
            refused_shares.append(refused / jobs)
        return refused_shares

    def _note_tick(self, started: int, now: float) -> None:
        self.backlog.note_pass(
            left=Lateness.IN_TIME if self._unstarted else None,
            waited_share=min(1.0, self._unstarted * START_S / START_IN_S),
            now=now,
        )
        self.backlog.observe(starts=started, elapsed_s=TICK_S, now=now)
        self.demand.update(self.backlog, now)


@pytest.mark.parametrize("burst", [1.75, 3.0])
def test_burst_is_shed_within_two_heartbeats_and_without_oscillation(
    burst: float,
) -> None:
    """Guards against shares that follow their own effect on the arriving jobs."""
    fleet = _Members()
    capacity = 1.0 / START_S
    assert sum(fleet.run(2.0, 0.6 * capacity)) == 0.0
    shares = fleet.run(5.0, burst * capacity)
    expected = 1.0 - 1.0 / burst
    assert any(shares[: 2 * HEARTBEAT_TICKS])
    # Means of ten ticks: in one tick the 27 jobs of the smaller burst alone differ by
    # 0.3, since the hash decides on each.
    means = [sum(shares[tick : tick + 10]) / 10 for tick in range(20, 91)]
    assert sum(means) / len(means) == pytest.approx(expected, abs=0.05)
    assert max(means) - min(means) < 0.25
    after = fleet.run(2.0, 0.6 * capacity)
    assert not any(after[10:])


def test_no_job_is_refused_while_there_is_processor_time() -> None:
    """Guards against refusals although the leader catches up in every tick."""
    backlog = StartBacklog()
    demand = StartDemand()
    for step in range(100):
        now = step * TICK_S
        for number in range(300):
            demand.note(f"{step}-{number}", priority=0, starts=1, now=now)
        backlog.note_pass(left=None, waited_share=0.0, now=now)
        backlog.note_pass(left=Lateness.IN_TIME, waited_share=0.9, now=now + 0.01)
        backlog.observe(starts=20, elapsed_s=TICK_S, now=now + TICK_S)
        demand.update(backlog, now + TICK_S)
    assert not demand.shares


def test_more_urgent_priorities_keep_more_of_equal_demand() -> None:
    shares = shares_by_priority({0: 1000.0, 1: 1000.0, 2: 1000.0}, 1500.0)
    # 100 of each are kept in any case; the other 1,200 are distributed 4 to 2 to 1.
    assert shares == pytest.approx({0: 0.2143, 1: 0.5571, 2: 0.7286}, abs=1e-4)


def test_a_priority_that_requests_little_keeps_its_jobs() -> None:
    """Guards against all jobs of a kind refused for a twentieth of the starts."""
    shares = shares_by_priority({0: 1240.0, 1: 900.0, 2: 112.0}, 1126.0)
    assert 2 not in shares
    assert 0.0 < shares[0] < shares[1] < 0.7


@given(
    st.dictionaries(st.integers(0, 9), st.floats(0.0, 1e6), max_size=6),
    st.floats(0.0, 1e6),
)
def test_what_is_not_refused_fits(requested: dict[int, float], limit: float) -> None:
    """Guards against shares outside 0 to 1, and against an excess that remains."""
    shares = shares_by_priority(requested, limit)
    assert all(0.0 <= share <= 0.9 for share in shares.values())
    kept = sum(row * (1.0 - shares.get(key, 0.0)) for key, row in requested.items())
    least = 0.1 * sum(requested.values())
    assert kept <= max(limit, least) * (1 + 1e-6) + 1e-6


def test_nothing_is_refused_where_the_capacity_is_not_known() -> None:
    """Guards against jobs refused on hosts whose settings name no capacity."""
    rate = StartRate()
    backlog = StartBacklog()
    demand = StartDemand()
    for step in range(20):
        now = (step + 0.5) * TICK_S
        for number in range(300):
            demand.note(f"{step}-{number}", priority=0, starts=8, now=now)
        rate.observe(cpu_s=0.05, starts=100, elapsed_s=TICK_S)
        backlog.note_pass(left=Lateness.IN_TIME, waited_share=0.9, now=now - 0.01)
        backlog.note_pass(left=None, waited_share=0.0, now=now)
        backlog.observe(starts=100, elapsed_s=TICK_S, now=now)
        demand.update(backlog, now)
    assert backlog.possible_per_s(rate.starts_per_s) == float("inf")
    assert not demand.shares


def test_capacity_above_one_core_counts_in_full() -> None:
    """On some hosts a single thread uses more than a second of a core per second."""
    rate = StartRate(cpu_cores=2.15)
    for _ in range(50):
        rate.observe(cpu_s=0.06, starts=80, elapsed_s=TICK_S)
    assert rate.starts_per_s == pytest.approx(0.85 * 2.15 / 0.00075, rel=0.02)


def test_capacity_that_the_process_does_not_get_is_learned_and_tried_again() -> None:
    """Guards against a forecast by processor time that the process never gets.

    Of 2.15 cores the process gets 1.5, since the system's work for it does not count
    as its own.
    """
    rate = StartRate(cpu_cores=2.15)
    for _ in range(20):
        rate.observe(cpu_s=1.5 * 0.09, starts=150, elapsed_s=0.09, late_s=0.04)
    assert rate.capacity_cores == pytest.approx(1.5, rel=0.05)
    for _ in range(100):
        rate.observe(cpu_s=1.4 * TICK_S, starts=90, elapsed_s=TICK_S)
    assert rate.capacity_cores > 1.7


def test_a_pause_of_the_process_does_not_change_its_capacity() -> None:
    """Guards against jobs refused after a leader's host stood still for a moment."""
    rate = StartRate(cpu_cores=2.0)
    rate.observe(cpu_s=0.01, starts=20, elapsed_s=0.5, late_s=0.45)
    rate.observe(cpu_s=0.03, starts=20, elapsed_s=TICK_S)
    assert rate.capacity_cores == 2.0


def _observe_behind(backlog: StartBacklog, ticks: int, starts: int) -> None:
    """Add ticks in which every pass leaves a job that has waited most of its time."""
    for tick in range(ticks):
        now = (tick + 1) * TICK_S
        backlog.note_pass(left=Lateness.IN_TIME, waited_share=0.9, now=now)
        backlog.observe(starts=starts, elapsed_s=TICK_S, now=now)


@pytest.mark.parametrize("starts", [20, 80, 400])
def test_a_saturated_leader_counts_as_making_what_it_makes(starts: int) -> None:
    """Guards against a rate by processor time that differs from what starts show."""
    backlog = StartBacklog()
    _observe_behind(backlog, 20, starts)
    assert backlog.possible_per_s(1e4) == pytest.approx(starts / TICK_S, rel=0.05)
    assert backlog.waited_share == 0.9


def test_refusals_do_not_lower_the_starts_that_can_be_made() -> None:
    """Guards against refusals that keep themselves up: fewer starts, each dearer."""
    backlog = StartBacklog()
    _observe_behind(backlog, 20, 80)
    for tick in range(20, 120):
        now = (tick + 1) * TICK_S
        backlog.note_pass(left=None, waited_share=0.0, now=now)
        backlog.observe(starts=30, elapsed_s=TICK_S, now=now)
    assert backlog.possible_per_s(0.0) == pytest.approx(80 / TICK_S, rel=0.05)
    assert backlog.is_clear


def test_a_pause_does_not_lower_the_starts_that_can_be_made() -> None:
    """Guards against jobs refused after a leader's host stood still for a moment."""
    backlog = StartBacklog()
    _observe_behind(backlog, 20, 80)
    backlog.observe(starts=5, elapsed_s=0.8, now=1.8)
    assert backlog.made_per_s == pytest.approx(80 / TICK_S, rel=0.05)


def test_a_pass_that_is_cut_short_is_no_backlog() -> None:
    """Guards against refusals for one batch of jobs or of freed targets."""
    backlog = StartBacklog()
    _observe_behind(backlog, 1, 80)
    assert backlog.waited_share == 0.0


def test_nothing_is_refused_before_any_rate_is_known() -> None:
    """Guards against nine tenths refused by a leader whose every sample is a pause."""
    backlog = StartBacklog()
    demand = StartDemand()
    for step in range(1, 10):
        now = step * 0.5
        for number in range(300):
            demand.note(f"{step}-{number}", priority=0, starts=8, now=now)
        backlog.note_pass(left=Lateness.IN_TIME, waited_share=0.9, now=now)
        backlog.observe(starts=10, elapsed_s=0.5, now=now)
        demand.update(backlog, now)
    assert not demand.shares
