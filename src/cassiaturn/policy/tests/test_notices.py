"""Which peers an instance notifies of its free slots."""

import pytest

from cassiaturn.policy import FreeSlotNotices, PeerRow

NOW = 100.0


def make_peer(name: str, *, queued: int = 5, domain: str = "osu") -> PeerRow:
    return PeerRow(
        instance_id=name,
        incarnation=name,
        failure_domain=domain,
        free_slots=0,
        queued=queued,
        expected_wait_s=0.1,
        reported_at=NOW,
        ready=True,
        slots=24,
    )


@pytest.mark.parametrize(
    ("free_slots", "queued", "peer_queued", "reported"),
    [(2, 0, 5, 0), (9, 1, 5, 0), (9, 0, 0, 0), (9, 0, 5, 9)],
)
def test_a_notice_that_nobody_can_use_is_not_sent(
    free_slots: int, queued: int, peer_queued: int, reported: int
) -> None:
    notices = FreeSlotNotices(failure_domain="osu")
    notices.record_sent("a", reported)
    peers = [make_peer("a", queued=peer_queued)]
    due = notices.due(free_slots=free_slots, queued=queued, peers=peers, now=NOW)
    assert not due


def test_near_peers_are_notified_first_and_once_per_interval() -> None:
    notices = FreeSlotNotices(failure_domain="osu")
    peers = [make_peer("far", domain="tema"), make_peer("near")]
    for name in ("far", "near"):
        notices.record_sent(name, 0)
    assert notices.due(free_slots=3, queued=0, peers=peers, now=NOW) == ["near"]
    assert notices.due(free_slots=6, queued=0, peers=peers, now=NOW) == ["far"]
    assert notices.due(free_slots=6, queued=0, peers=peers, now=NOW + 0.5) == []
    later = notices.due(free_slots=6, queued=0, peers=peers, now=NOW + 1.0)
    assert later == ["near", "far"]
