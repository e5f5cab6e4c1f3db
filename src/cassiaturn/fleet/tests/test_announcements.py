"""Tests which new targets wait until followers have them in their lists."""

import pytest

from cassiaturn.entities import Resources, TargetReport
from cassiaturn.fleet._list_pace import ListPace
from cassiaturn.fleet._roster import Roster
from cassiaturn.fleet._roster_feed import RosterCursor, RosterFeed
from cassiaturn.v1 import fleet_pb2 as pb


def _report(name: str, *, leaving: bool = False) -> TargetReport:
    return TargetReport(
        target_id=name,
        address=f"{name}:7000",
        service="svc",
        failure_domain="a",
        capacity=Resources(cpu_millis=16_000),
        leaving=leaving,
    )


class _Follower:
    """A follower with its copy of the lists."""

    def __init__(self, feed: RosterFeed, name: str, *, confirms: bool = True) -> None:
        self.roster = Roster()
        self.confirmed = 0
        self._feed = feed
        self._name = name
        self._confirms = confirms
        self.cursor: RosterCursor = self._join()

    def join_again(self) -> None:
        self.cursor = self._join()

    def _join(self) -> RosterCursor:
        hello = pb.Hello(member_id=self._name, confirms_pages=self._confirms)
        return self._feed.join(hello, on_change=lambda: None)

    def read(self) -> None:
        """Read all pages that are due."""
        while self.cursor.due_at is not None:
            page = self.cursor.next_page()
            self.roster.apply(page)
            self.confirmed = page.number or self.confirmed

    def confirm(self) -> None:
        self.cursor.confirm(self.confirmed)


def _feed(*, is_complete: bool = True) -> RosterFeed:
    feed = RosterFeed(pace=ListPace(link_mbps=1_000.0))
    known = {"known": _report("known")} if is_complete else {}
    feed.begin(known, is_complete=is_complete)
    return feed


def test_a_target_waits_for_every_follower_with_a_whole_list() -> None:
    """Guards against starts where a successor would not look for them."""
    feed = _feed()
    followers = [_Follower(feed, name) for name in "ab"]
    for follower in followers:
        follower.read()
    feed.put_target(_report("new"))
    for follower in followers:
        assert feed.announcements.unconfirmed_ids == {"new"}
        follower.confirm()
        assert feed.announcements.unconfirmed_ids == {"new"}
        follower.read()
        follower.confirm()
    assert not feed.announcements.unconfirmed_ids


@pytest.mark.parametrize("has_read", [False, True])
@pytest.mark.parametrize("ending", ["leave", "join_again"])
def test_a_target_does_not_wait_for_a_follower_that_is_gone(
    ending: str, has_read: bool
) -> None:
    """Guards against targets that a lost follower keeps without starts."""
    feed = _feed()
    follower = _Follower(feed, "a")
    follower.read()
    feed.put_target(_report("new"))
    if has_read:
        follower.read()
    if ending == "leave":
        feed.leave("a")
    else:
        follower.join_again()
    assert not feed.announcements.unconfirmed_ids


@pytest.mark.parametrize("confirms", [False, True])
def test_a_target_does_not_wait_for_a_list_that_is_not_whole(confirms: bool) -> None:
    """Guards against a fleet that starts nothing until all lists were sent."""
    feed = _feed(is_complete=not confirms)
    follower = _Follower(feed, "a", confirms=confirms)
    follower.read()
    feed.put_target(_report("new"))
    assert not feed.announcements.unconfirmed_ids
    follower.read()
    assert follower.roster.is_whole is not confirms
    feed.note_complete()
    follower.read()
    assert follower.roster.is_whole


def test_a_target_that_returns_is_confirmed_again() -> None:
    """Guards against a confirmation that was given for an earlier entry."""
    feed = _feed()
    follower = _Follower(feed, "a")
    follower.read()
    feed.put_target(_report("new"))
    follower.read()
    feed.remove_target("new")
    assert not feed.announcements.unconfirmed_ids
    feed.put_target(_report("new"))
    follower.confirm()
    assert feed.announcements.unconfirmed_ids == {"new"}
    follower.read()
    follower.confirm()
    assert not feed.announcements.unconfirmed_ids


def test_lists_are_the_same_whatever_is_known_of_their_targets() -> None:
    """Guards against inherited jobs that wait since a target has begun to drain."""
    feed = _feed()
    follower = _Follower(feed, "a")
    follower.read()
    feed.put_target(_report("known", leaving=True))
    assert feed.has_list(follower.roster.list_digest)
    feed.put_target(_report("new"))
    assert feed.has_list(follower.roster.list_digest)
    follower.read()
    assert feed.has_list(follower.roster.list_digest)
    other = _feed()
    assert not other.has_list(follower.roster.list_digest)
    other.put_target(_report("new"))
    assert other.has_list(follower.roster.list_digest)
