"""Tests of estimates on their way from a leader to what its followers keep."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.fleet import _estimates_feed, _kept_estimates
from cassiaturn.fleet._estimates_codec import read_estimates
from cassiaturn.fleet._estimates_feed import (
    PAGE_ENTRIES,
    EstimatesCursor,
    EstimatesFeed,
)
from cassiaturn.fleet._kept_estimates import KeptEstimates
from cassiaturn.fleet._list_pace import LIST_SHARE, MEGABIT_BYTES
from cassiaturn.sharing import (
    Estimate,
    EstimateKey,
    EstimateKind,
    EstimateSummary,
    Learned,
)
from cassiaturn.v1 import fleet_pb2 as pb

LINK_MBPS = 12.5

LABEL = Learned(EstimateKey(EstimateKind.LABEL, "a", "svc"), -0.2, 0.0003)

ROUTE = Learned(EstimateKey(EstimateKind.ROUTE, "quick"), math.log(0.25), 0.0)


class Clock:
    """A clock that the test advances."""

    now = 50.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_estimates_feed, "time", clock)
    return clock


def _targets(count: int, mean: float = 0.3) -> list[Learned]:
    return [
        Learned(EstimateKey(EstimateKind.TARGET, f"i-{n:010x}"), mean, 0.003)
        for n in range(count)
    ]


def _update(feed: EstimatesFeed, learned: list[Learned], now: float) -> None:
    feed.note_changed(feed.summary.update(learned, now))


def _join(feed: EstimatesFeed) -> EstimatesCursor:
    return feed.join("front-1", on_change=lambda: None)


def _deliver(
    cursor: EstimatesCursor, kept: KeptEstimates, clock: Clock
) -> list[pb.Estimates]:
    """Deliver all pages, each when it is due; returns them."""
    pages = []
    while cursor.due_at is not None:
        clock.now = max(clock.now, cursor.due_at)
        pages.append(cursor.next_page())
        kept.read(pages[-1], clock.now)
    return pages


def _kept(kept: KeptEstimates, heard_at: float) -> dict[EstimateKey, Estimate]:
    kept.end_term(heard_at)
    return {estimate.key: estimate for estimate in kept.estimates}


def test_a_follower_that_joins_is_sent_everything_in_pages(clock: Clock) -> None:
    """Each page stands on its own: the leader may be killed after the first one."""
    feed = EstimatesFeed(link_mbps=LINK_MBPS)
    _update(feed, [*_targets(450), LABEL, ROUTE], clock.now)
    clock.now += 3.0
    kept = KeptEstimates()
    pages = _deliver(_join(feed), kept, clock)
    sizes = [len(page.targets) + len(page.labels) + len(page.routes) for page in pages]
    assert sizes == [PAGE_ENTRIES, PAGE_ENTRIES, 52]
    assert [page.whole for page in pages] == [False, False, True]
    half = KeptEstimates()
    half.read(pages[0], clock.now)
    assert not half.is_whole
    assert len(_kept(half, clock.now)) == PAGE_ENTRIES
    found = _kept(kept, clock.now)
    assert len(found) == 452
    assert found[LABEL.key].mean == pytest.approx(LABEL.mean)
    assert found[LABEL.key].variance == pytest.approx(LABEL.variance)
    assert found[ROUTE.key].mean == pytest.approx(ROUTE.mean)
    assert found[LABEL.key].learned_at == pytest.approx(50.0, abs=0.01)


def test_only_changes_are_sent_and_the_latest_value_counts(clock: Clock) -> None:
    """Guards against traffic that grows with changes x followers x targets.

    Targets that left are dropped by the followers, too.
    """
    feed = EstimatesFeed(link_mbps=LINK_MBPS)
    targets = _targets(100)
    _update(feed, targets, clock.now)
    cursor, kept = _join(feed), KeptEstimates()
    _deliver(cursor, kept, clock)
    assert cursor.due_at is None
    for mean in (0.4, 0.5):
        targets[7] = targets[7]._replace(mean=mean)
        _update(feed, targets, clock.now)
    assert cursor.waiting == 1
    (page,) = _deliver(cursor, kept, clock)
    assert [row.effect for row in page.targets] == [50]
    _update(feed, targets[:99], clock.now)
    (page,) = _deliver(cursor, kept, clock)
    assert page.targets_gone == [targets[99].key.name]
    assert len(_kept(kept, clock.now)) == 99


def test_followers_that_join_later_are_told_later_ages(clock: Clock) -> None:
    """Guards against a page built for one follower that others get long after."""
    feed = EstimatesFeed(link_mbps=LINK_MBPS)
    ages = []
    for _ in range(3):
        _update(feed, _targets(1), clock.now)
        ages.append(_join(feed).next_page().targets[0].age_ms)
        clock.now += 5.0
    assert ages == [0, 5_000, 10_000]


def test_streams_of_an_earlier_term_are_sent_nothing(clock: Clock) -> None:
    """Guards against pages that tell followers that all targets are gone."""
    feed = EstimatesFeed(link_mbps=LINK_MBPS)
    _update(feed, _targets(3), clock.now)
    cursors = [_join(feed), _join(feed)]
    assert [cursor.waiting for cursor in cursors] == [0, 3]
    feed.begin(EstimateSummary())
    assert [cursor.due_at for cursor in cursors] == [None, None]


def test_estimates_grow_old_only_without_their_leader(clock: Clock) -> None:
    """Guards against a successor that distrusts what was true a moment ago.

    Entries that did not change are not sent again. A follower that is cut off for 10 s
    and then elected has to raise their uncertainty.
    """
    feed = EstimatesFeed(link_mbps=LINK_MBPS)
    _update(feed, _targets(1), clock.now)
    kept = KeptEstimates()
    _deliver(_join(feed), kept, clock)
    heard_at = clock.now + 60.0
    (estimate,) = _kept(kept, heard_at).values()
    assert estimate.learned_at == pytest.approx(heard_at)
    after_cut = estimate.raised_variance(heard_at + 10.0)
    assert after_cut > estimate.raised_variance(heard_at) > estimate.variance
    # A later leader that has not learned of this target does not say so.
    kept.read(pb.Estimates(whole=True), heard_at + 20.0)
    (again,) = _kept(kept, heard_at + 30.0).values()
    assert again == estimate


@pytest.mark.parametrize("targets", [176, 300, 1_400])
def test_pages_use_at_most_a_tenth_of_the_link(clock: Clock, targets: int) -> None:
    """Guards against orders to targets that queue behind estimates."""
    feed = EstimatesFeed(link_mbps=LINK_MBPS)
    _update(feed, _targets(targets), clock.now)
    cursors = [
        feed.join(f"front-{number}", on_change=lambda: None) for number in range(20)
    ]
    sent, began_at = 0, clock.now
    while (due := [row for row in cursors if row.due_at is not None]) and sent < 3e5:
        cursor = min(due, key=lambda row: row.due_at or 0.0)
        clock.now = max(clock.now, cursor.due_at or 0.0)
        if sent:
            tenth = (clock.now - began_at) * LINK_MBPS * MEGABIT_BYTES * LIST_SHARE
            assert sent <= tenth + PAGE_ENTRIES * 24
        size = cursor.next_page().ByteSize()
        assert size <= PAGE_ENTRIES * 24
        sent += size


def test_followers_keep_a_bounded_number(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader, or its impostor, that fills the memory of members."""
    monkeypatch.setattr(_kept_estimates, "MAX_ENTRIES", 10)
    kept = KeptEstimates()
    message = pb.Estimates()
    for number in range(25):
        message.targets.add(target_id=f"t{number}", effect=1, variance=30)
    assert kept.read(message, 1.0) == 15
    assert kept.count == 10
    assert kept.ignored == 15
    # Those of an earlier leader make place for those of the present one.
    kept.end_term(2.0)
    message = pb.Estimates()
    for number in range(30, 38):
        message.targets.add(target_id=f"t{number}", effect=1, variance=30)
    assert kept.read(message, 3.0) == 0
    assert kept.count == 10


_NAMES = st.text(max_size=210)
_NUMBERS = {
    "effect": st.integers(-(2**31), 2**31 - 1),
    "variance": st.integers(0, 2**32 - 1),
    "age_ms": st.integers(0, 2**32 - 1),
}
_TARGETS = st.builds(pb.TargetEstimate, target_id=_NAMES, **_NUMBERS)
_LABELS = st.builds(pb.LabelEstimate, service=_NAMES, label=_NAMES, **_NUMBERS)
_ROUTES = st.builds(pb.RouteEstimate, route=_NAMES, mean_run_ms=st.floats(width=32))


@given(
    st.builds(
        pb.Estimates,
        targets=st.lists(_TARGETS, max_size=3),
        labels=st.lists(_LABELS, max_size=3),
        routes=st.lists(_ROUTES, max_size=3),
    )
)
def test_any_message_gives_plausible_estimates(message: pb.Estimates) -> None:
    """Guards against values that are not finite, or out of range."""
    read = read_estimates(message, 100.0)
    entries = len(message.targets) + len(message.labels) + len(message.routes)
    assert len(read.estimates) + read.ignored == entries
    for estimate in read.estimates:
        assert estimate.is_plausible
        raised = estimate.raised_variance(100.0)
        assert estimate.key.kind is EstimateKind.ROUTE or raised >= estimate.variance
