"""What a follower knows after changes, joins and lost leaders."""

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
    roster.begin()
    hello = pb.Hello(member_id=name, target_digests=roster.target_digests)
    return feed.join(hello, on_change=on_change)


def _deliver(cursor: RosterCursor, roster: Roster) -> list[pb.RosterPage]:
    """Deliver every page that is due now or later; returns them."""
    pages = []
    while cursor.due_at is not None:
        pages.append(cursor.next_page())
        roster.take(pages[-1])
    return pages


def _known(roster: Roster) -> dict[str, bool]:
    return {key: row.leaving for key, row in roster.targets_by_id.items()}


def _told(feed: RosterFeed) -> dict[str, bool]:
    return {key: row.leaving for key, row in feed.entries_by_id.items()}


@pytest.mark.parametrize("seed", range(40))
def test_any_order_of_changes_and_pages_ends_in_the_same_list(seed: int) -> None:
    """Targets come, change and go while a follower reads pages, or loses its leader."""
    chance = random.Random(seed)
    feed = _feed(chance.randrange(80))
    roster = Roster()
    cursor = _join(feed, roster)
    for _ in range(200):
        number = chance.randrange(100)
        match chance.randrange(6):
            case 0 | 1:
                feed.put_target(_report(number, leaving=chance.random() < 0.3))
            case 2:
                feed.remove_target(_report(number).target_id)
            case 3 | 4:
                if cursor.due_at is not None:
                    roster.take(cursor.next_page())
            case 5 if chance.random() < 0.2:
                feed.leave("front-1")
                heirs = _feed(chance.randrange(100))
                feed = chance.choice([feed, heirs])
                cursor = _join(feed, roster)
    _deliver(cursor, roster)
    assert roster.is_whole
    assert _known(roster) == _told(feed)
    assert [row.member_id for row in roster.members] == ["front-1"]


def test_a_change_is_told_once_and_by_its_newest_state() -> None:
    """A follower reads nothing while a target changes a hundred times.

    It is owed the last state, not a hundred of them.
    """
    feed, roster = _feed(250), Roster()
    cursor = _join(feed, roster)
    _deliver(cursor, roster)
    for step in range(100):
        feed.put_target(replace(_report(7), address=f"10.2.0.1:{7_000 + step}"))
    (page,) = _deliver(cursor, roster)
    assert [row.address for row in page.targets] == ["10.2.0.1:7099"]
    assert page.ByteSize() < 200


def test_what_followers_would_not_see_is_not_told() -> None:
    """A target that leaves counts its time down in its entry, each 1.5 s.

    Followers are not told of that time; each count-down was a change for all of them.
    """
    feed, roster = _feed(250), Roster()
    cursor = _join(feed, roster)
    _deliver(cursor, roster)
    feed.put_target(replace(_report(7), remaining_s=1.5))
    assert cursor.due_at is None


def test_a_follower_of_the_last_leader_is_told_only_what_differs() -> None:
    """All members join a new leader at once, and know its list but for two targets."""
    old = _feed(250)
    roster = Roster()
    _deliver(_join(old, roster), roster)
    new = _feed(251)
    new.remove_target(_report(3).target_id)
    pages = _deliver(_join(new, roster), roster)
    assert sum(page.ByteSize() for page in pages) < 2_000
    assert roster.is_whole
    assert _known(roster) == _told(new)


def test_a_list_is_whole_only_once_all_of_it_came() -> None:
    """The leader falls silent while a member that started anew gets its first list.

    A successor that took half of the list for all of it would start tasks again that
    run on targets it does not know.
    """
    feed, roster = _feed(250), Roster()
    cursor = _join(feed, roster)
    for _ in range(250 // PAGE_ENTRIES):
        roster.take(cursor.next_page())
        assert not roster.is_whole
    roster.take(cursor.next_page())
    assert roster.is_whole


def test_what_is_known_outlasts_a_leader_that_told_nothing() -> None:
    """A leader takes a member on and falls silent before it tells anything."""
    feed, roster = _feed(50), Roster()
    _deliver(_join(feed, roster), roster)
    _join(_feed(0), roster)
    assert len(roster.targets_by_id) == 50
    assert not roster.is_whole


def test_a_page_is_bounded_however_much_waits() -> None:
    cursor = _join(_feed(1_400), Roster())
    page = cursor.next_page()
    assert len(page.targets) + len(page.members) <= PAGE_ENTRIES
    assert page.ByteSize() < 4_096 + BUCKETS


def test_a_change_goes_before_the_rest_of_a_long_list() -> None:
    """A target announces its end while a new member still gets its first list."""
    feed, roster = _feed(250), Roster()
    cursor = _join(feed, roster)
    roster.take(cursor.next_page())
    feed.put_target(_report(249, leaving=True))
    page = cursor.next_page()
    assert page.targets[0].target_id == _report(249).target_id


def test_lists_for_all_followers_leave_the_link_to_others() -> None:
    """28 members without a list join within a moment, as after a restart of all.

    Their lists are due one after the other, a tenth of the link in all; the last page
    that is due waits no longer than they take at that pace.
    """
    feed = _feed(250)
    cursors = [_join(feed, Roster(), f"front-{number}") for number in range(28)]
    first = [cursor.due_at for cursor in cursors if cursor.due_at is not None]
    sent = sum(cursor.next_page().ByteSize() for cursor in cursors)
    began_at = min(first)
    ends_at = max(cursor.due_at for cursor in cursors if cursor.due_at is not None)
    assert sorted(first) == first
    assert ends_at - began_at >= sent / (LINK_MBPS * MEGABIT_BYTES * LIST_SHARE) * 0.9


def test_a_pace_gives_time_back_that_was_not_used() -> None:
    pace = ListPace(link_mbps=LINK_MBPS)
    rate = LINK_MBPS * MEGABIT_BYTES * LIST_SHARE
    assert pace.reserve(10_000, now=5.0) == 5.0
    pace.correct(-10_000)
    assert pace.reserve(10_000, now=5.0) == pytest.approx(5.0)
    assert pace.reserve(0, now=5.0) == pytest.approx(5.0 + 10_000 / rate)
