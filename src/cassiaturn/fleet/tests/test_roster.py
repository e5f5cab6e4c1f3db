"""Tests a follower's copy of the lists after changes, joins and lost leaders."""

import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from cassiaturn.entities import Resources, TargetReport
from cassiaturn.fleet._digests import BUCKETS
from cassiaturn.fleet._list_pace import LIST_SHARE, MEGABIT_BYTES, ListPace
from cassiaturn.fleet._roster import Roster
from cassiaturn.fleet._roster_feed import PAGE_ENTRIES, RosterCursor, RosterFeed
from cassiaturn.v1 import fleet_pb2 as pb

LINK_MBPS = 12.5


def _report(number: int, *, leaving: bool = False) -> TargetReport:
    return TargetReport(
        target_id=f"i-{number:08x}",
        address=f"10.1.{number // 250}.{number % 250}:7000",
        service="svc",
        failure_domain="a",
        capacity=Resources(cpu_millis=16_000, memory_mib=64_000),
        labels=frozenset({"a", f"r-{number % 9}"}),
        leaving=leaving,
    )


def _feed(count: int = 0) -> RosterFeed:
    feed = RosterFeed(pace=ListPace(link_mbps=LINK_MBPS))
    feed.begin({row.target_id: row for row in map(_report, range(count))})
    return feed


def _join(
    feed: RosterFeed,
    roster: Roster,
    name: str = "front-1",
    on_change: Callable[[], None] = lambda: None,
) -> RosterCursor:
    roster.begin(1)
    hello = pb.Hello(member_id=name, target_digests=roster.target_digests)
    return feed.join(hello, on_change=on_change)


def _deliver(cursor: RosterCursor, roster: Roster) -> list[pb.RosterPage]:
    """Deliver all pages until none is due; returns them."""
    pages = []
    while cursor.due_at is not None:
        pages.append(cursor.next_page())
        roster.apply(pages[-1])
    return pages


def _targets_of_roster(roster: Roster) -> dict[str, bool]:
    return {key: row.leaving for key, row in roster.targets_by_id.items()}


def _targets_of_feed(feed: RosterFeed) -> dict[str, bool]:
    return {key: row.leaving for key, row in feed.entries_by_id.items()}


@pytest.mark.parametrize("seed", range(40))
def test_lists_converge_under_any_order_of_changes_and_pages(seed: int) -> None:
    """Targets come, change and go while a follower reads pages or changes leader.

    A follower whose copy misses a change would lead with wrong targets later.
    """
    rng = random.Random(seed)
    feed = _feed(rng.randrange(80))
    roster = Roster()
    cursor = _join(feed, roster)
    for _ in range(200):
        number = rng.randrange(100)
        match rng.randrange(6):
            case 0 | 1:
                feed.put_target(_report(number, leaving=rng.random() < 0.3))
            case 2:
                feed.remove_target(_report(number).target_id)
            case 3 | 4:
                if cursor.due_at is not None:
                    roster.apply(cursor.next_page())
            case 5 if rng.random() < 0.2:
                feed.leave("front-1")
                successor_feed = _feed(rng.randrange(100))
                feed = rng.choice([feed, successor_feed])
                cursor = _join(feed, roster)
    _deliver(cursor, roster)
    assert roster.is_whole
    assert _targets_of_roster(roster) == _targets_of_feed(feed)
    assert [row.member_id for row in roster.members] == ["front-1"]


def test_only_the_newest_state_of_a_changed_target_is_sent() -> None:
    """A follower reads nothing while a target changes a hundred times.

    It must be sent the last state, not a hundred of them.
    """
    feed, roster = _feed(250), Roster()
    cursor = _join(feed, roster)
    _deliver(cursor, roster)
    for step in range(100):
        feed.put_target(replace(_report(7), address=f"10.2.0.1:{7_000 + step}"))
    (page,) = _deliver(cursor, roster)
    assert [row.address for row in page.targets] == ["10.2.0.1:7099"]
    assert page.ByteSize() < 200


def test_changes_of_fields_that_followers_do_not_have_are_not_sent() -> None:
    """A leaving target updates its remaining time in its entry every 1.5 s.

    Followers do not receive that time; yet each update was sent to all of them as a
    change.
    """
    feed, roster = _feed(250), Roster()
    cursor = _join(feed, roster)
    _deliver(cursor, roster)
    feed.put_target(replace(_report(7), remaining_s=1.5))
    assert cursor.due_at is None


def test_follower_of_the_last_leader_is_sent_only_what_differs() -> None:
    """All members join a new leader at once, and their lists differ in two targets.

    Sending the whole list to each of them would fill the leader's link.
    """
    old = _feed(250)
    roster = Roster()
    _deliver(_join(old, roster), roster)
    new = _feed(251)
    new.remove_target(_report(3).target_id)
    pages = _deliver(_join(new, roster), roster)
    assert sum(page.ByteSize() for page in pages) < 2_000
    assert roster.is_whole
    assert _targets_of_roster(roster) == _targets_of_feed(new)


def test_list_is_whole_only_once_every_page_arrived() -> None:
    """The leader falls silent while a restarted member receives its first list.

    A successor that took half of the list for the whole would restart tasks that still
    run on targets it does not know.
    """
    feed, roster = _feed(250), Roster()
    cursor = _join(feed, roster)
    for _ in range(250 // PAGE_ENTRIES):
        roster.apply(cursor.next_page())
        assert not roster.is_whole
    roster.apply(cursor.next_page())
    assert roster.is_whole


def test_known_targets_survive_a_leader_that_sent_nothing() -> None:
    """A leader accepts a member and falls silent before it sends anything.

    If the member dropped its targets on joining, it could not lead without the table
    service.
    """
    feed, roster = _feed(50), Roster()
    _deliver(_join(feed, roster), roster)
    _join(_feed(0), roster)
    assert len(roster.targets_by_id) == 50
    assert not roster.is_whole


def test_page_size_is_bounded() -> None:
    cursor = _join(_feed(1_400), Roster())
    page = cursor.next_page()
    assert len(page.targets) + len(page.members) <= PAGE_ENTRIES
    assert page.ByteSize() < 4_096 + BUCKETS


def test_change_is_sent_before_the_rest_of_a_long_list() -> None:
    """A target announces that it leaves while a new member receives its first list.

    If that waited for the rest of the list, a successor could start tasks there.
    """
    feed, roster = _feed(250), Roster()
    cursor = _join(feed, roster)
    roster.apply(cursor.next_page())
    feed.put_target(_report(249, leaving=True))
    page = cursor.next_page()
    assert page.targets[0].target_id == _report(249).target_id


def test_lists_for_all_followers_take_a_bounded_share_of_the_link() -> None:
    """28 members without a list join at once, as after a restart of the whole fleet.

    Their pages are due one after the other and take a tenth of the link in total, so
    that the last one waits no longer than all of them take at that rate.
    """
    feed = _feed(250)
    cursors = [_join(feed, Roster(), f"front-{number}") for number in range(28)]
    first = [cursor.due_at for cursor in cursors if cursor.due_at is not None]
    sent = sum(cursor.next_page().ByteSize() for cursor in cursors)
    began_at = min(first)
    ends_at = max(cursor.due_at for cursor in cursors if cursor.due_at is not None)
    assert sorted(first) == first
    assert ends_at - began_at >= sent / (LINK_MBPS * MEGABIT_BYTES * LIST_SHARE) * 0.9


def test_pace_returns_reserved_time_that_was_not_used() -> None:
    pace = ListPace(link_mbps=LINK_MBPS)
    rate = LINK_MBPS * MEGABIT_BYTES * LIST_SHARE
    assert pace.reserve(10_000, now=5.0) == 5.0
    pace.correct(-10_000)
    assert pace.reserve(10_000, now=5.0) == pytest.approx(5.0)
    assert pace.reserve(0, now=5.0) == pytest.approx(5.0 + 10_000 / rate)
