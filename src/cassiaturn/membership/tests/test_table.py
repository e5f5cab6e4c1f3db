"""Members that are silent, leaving, gone or replaced, and out-of-date host lists."""

import random
from collections.abc import Sequence

from cassiaturn.membership import (
    HostHint,
    MemberChange,
    MemberFacts,
    MemberRow,
    MembershipSettings,
    MembershipTable,
    MemberState,
)

RANDOM_PART = "00112233"


def make_facts(
    instance_id: str,
    *,
    boot: str = "10",
    state: MemberState = MemberState.READY,
    suspected: Sequence[str] = (),
    version: int = 0,
) -> MemberFacts:
    return MemberFacts(
        instance_id=instance_id,
        incarnation=f"{instance_id}~{boot}{RANDOM_PART}",
        failure_domain=instance_id[0],
        state=state,
        suspected=suspected,
        configuration_version=version,
    )


def make_table(me: str = "a1", seed: int = 1) -> MembershipTable:
    return MembershipTable(
        me=MemberRow(facts=make_facts(me)),
        settings=MembershipSettings(),
        rng=random.Random(seed),
    )


def states(changes: Sequence[MemberChange]) -> list[tuple[str, MemberState]]:
    return [(change.instance_id, change.after) for change in changes]


def run_ticks(table: MembershipTable, start: float, end: float) -> list[MemberChange]:
    changes: list[MemberChange] = []
    ticks = round((end - start) * 10)
    for tick in range(ticks + 1):
        changes.extend(table.tick(start + tick / 10))
    return changes


def send_to_neighbours(table: MembershipTable) -> None:
    for instance_id in list(table.heartbeat_peer_ids()):
        table.sent(instance_id, 0.0)


def test_paused_instance_declares_no_member_gone() -> None:
    """
    An instance is stopped for a minute and resumes with a minute of unread frames.
    All others seem silent for that time; it must not declare them gone.
    """
    table = make_table()
    table.observe(make_facts("a2"), 0.0)
    run_ticks(table, 0.0, 1.0)
    assert table.tick(61.0) == []
    table.heard(make_facts("a2").incarnation, 61.1)
    assert run_ticks(table, 61.1, 63.0) == []


def test_member_is_gone_after_two_refused_connections() -> None:
    """
    A process dies on a running host: its link breaks and its port refuses
    connections. Its callers must not have to wait for the full timeout.
    """
    table = make_table()
    table.observe(make_facts("a2"), 0.0)
    run_ticks(table, 0.0, 1.0)
    table.refused("a2", 1.0)
    assert run_ticks(table, 1.0, 1.1) == []
    table.disconnected(make_facts("a2").incarnation, 1.1)
    table.refused("a2", 1.2)
    assert states(run_ticks(table, 1.2, 1.5)) == [("a2", MemberState.SUSPECTED)]
    table.refused("a2", 1.7)
    assert states(run_ticks(table, 1.7, 1.8)) == [("a2", MemberState.GONE)]


def test_silent_member_is_suspected_then_gone() -> None:
    """
    A host fails. Its neighbours suspect it after 2.5 s, while its targets stay, and
    declare it gone after 4 s, when its targets move and a takeover may begin.
    """
    table = make_table()
    table.observe(make_facts("a2"), 0.0)

    assert states(run_ticks(table, 0.0, 2.4)) == [("a2", MemberState.READY)]
    assert states(run_ticks(table, 2.5, 3.9)) == [("a2", MemberState.SUSPECTED)]
    assert table.live("a") == ["a1", "a2"]
    assert states(run_ticks(table, 4.0, 4.1)) == [("a2", MemberState.GONE)]
    assert table.live("a") == ["a1"]


def test_any_frame_ends_a_suspicion() -> None:
    """A member whose heartbeats are late but whose other frames arrive is alive."""
    table = make_table()
    table.observe(make_facts("a2"), 0.0)
    run_ticks(table, 0.0, 3.0)

    table.heard(make_facts("a2").incarnation, 3.0)

    assert states(run_ticks(table, 3.0, 5.0)) == [("a2", MemberState.READY)]


def test_broken_link_causes_suspicion_at_once() -> None:
    """A process dies; its broken link shows this earlier than its silence."""
    table = make_table()
    table.observe(make_facts("a2"), 0.0)
    table.tick(0.0)
    table.disconnected(make_facts("a2").incarnation, 0.5)

    assert states(run_ticks(table, 0.5, 4.1)) == [
        ("a2", MemberState.SUSPECTED),
        ("a2", MemberState.GONE),
    ]


def test_broken_link_to_a_member_without_traffic_is_probed_first() -> None:
    """
    The connection breaks to a member that is no neighbour and was last heard an hour
    ago. It is probed before it may be declared gone; a successor of a running home
    would refuse its work.
    """
    table = make_table("a0")
    for number in range(1, 9):
        table.observe(make_facts(f"a{number}"), 0.5)
    send_to_neighbours(table)
    far = next(
        f"a{n}" for n in range(1, 9) if f"a{n}" not in table.heartbeat_peer_ids()
    )
    near = set(table.heartbeat_peer_ids())
    for second in range(1, 3600):
        for one in near:
            table.heard(make_facts(one).incarnation, float(second))
        table.tick(float(second))
    table.disconnected(make_facts(far).incarnation, 3599.5)

    assert states(table.tick(3600.0)) == [(far, MemberState.SUSPECTED)]
    assert far in table.heartbeat_peer_ids()
    assert table.heartbeat_due(far, 3600.0)
    table.heard(make_facts(far).incarnation, 3600.1)
    assert states(table.tick(3600.2)) == [(far, MemberState.READY)]


def test_restarted_member_replaces_its_earlier_incarnation() -> None:
    """
    A host is replaced under the same instance id. The earlier incarnation is gone at
    once, and a late frame of it must change nothing; otherwise the running one would
    be taken over.
    """
    table = make_table()
    table.observe(make_facts("a2", boot="10"), 0.0)
    table.tick(0.0)
    table.observe(make_facts("a2", boot="20"), 1.0)
    table.observe(make_facts("a2", boot="10"), 1.1)

    changes = table.tick(1.1)

    old, new = make_facts("a2", boot="10"), make_facts("a2", boot="20")
    assert [one.incarnation for one in changes] == [old.incarnation, new.incarnation]
    assert changes[0].superseded_by == new.incarnation
    assert changes[0].after is MemberState.GONE
    assert table.members_by_id["a2"].facts.incarnation == new.incarnation


def test_clock_set_back_only_delays_the_replacement() -> None:
    """
    The clock of a host is set back and its instance restarts, with a lower start time
    than before. It must be accepted once the earlier incarnation is gone.
    """
    table = make_table()
    table.observe(make_facts("a2", boot="20"), 0.0)
    table.observe(make_facts("a2", boot="10"), 1.0)
    assert (
        table.members_by_id["a2"].facts.incarnation
        == make_facts("a2", boot="20").incarnation
    )
    run_ticks(table, 0.0, 4.5)

    table.observe(make_facts("a2", boot="10"), 4.6)

    changes = table.tick(4.6)
    assert [change.superseded_by for change in changes] == ["", ""]
    assert table.members_by_id["a2"].state is MemberState.READY


def test_leaving_member_holds_no_targets() -> None:
    """A host about to be removed must not keep targets until it is removed."""
    table = make_table()
    table.observe(make_facts("a2"), 0.0)
    table.observe(make_facts("a2", state=MemberState.LEAVING), 0.5)

    assert states(table.tick(0.5)) == [("a2", MemberState.LEAVING)]
    assert table.live("a") == ["a1"]


def test_host_list_is_a_hint_only() -> None:
    """
    The list is out of date: it still names a gone host, lacks one that is heard, and
    says that a third is about to leave. Only the last changes a state.
    """
    table = make_table()
    for instance_id in ("a2", "a3", "a4"):
        table.observe(make_facts(instance_id), 0.0)
    run_ticks(table, 0.0, 4.1)
    for instance_id in ("a3", "a4"):
        table.observe(make_facts(instance_id), 4.2)
    hosts = [
        HostHint(instance_id="a2", failure_domain="a"),
        HostHint(instance_id="a4", failure_domain="a", leaving=True),
    ]

    table.hint(hosts)
    table.tick(4.2)

    state_by_id = {one: row.state for one, row in table.members_by_id.items()}
    assert state_by_id == {
        "a2": MemberState.GONE,
        "a3": MemberState.READY,
        "a4": MemberState.LEAVING,
    }


def test_unheard_host_is_forgotten_when_no_longer_listed() -> None:
    """Rows of hosts that never sent a frame must not stay for good."""
    table = make_table()
    table.hint([HostHint(instance_id="a2", failure_domain="a")])
    assert "a2" in table.heartbeat_peer_ids()
    assert states(run_ticks(table, 0.0, 4.2))[-1] == ("a2", MemberState.GONE)

    table.hint([])

    assert table.members_by_id == {}


def test_suspicion_by_others_is_probed_first() -> None:
    """
    A neighbour suspects a member to which this instance has no link. The instance
    probes that member: an answer ends the suspicion here, and silence confirms it.
    """
    table = make_table("a0")
    for number in range(1, 9):
        table.observe(make_facts(f"a{number}"), 0.0)
    far = next(
        f"a{n}" for n in range(1, 9) if f"a{n}" not in table.heartbeat_peer_ids()
    )
    near = min(table.heartbeat_peer_ids())
    suspicion = make_facts(near, suspected=(make_facts(far).incarnation,))
    table.observe(suspicion, 2.0)

    assert far in table.heartbeat_peer_ids()
    assert table.heartbeat_due(far, 2.0)
    table.heard(make_facts(far).incarnation, 2.1)
    assert far not in table.heartbeat_peer_ids()

    table.observe(suspicion, 4.0)
    changes = run_ticks(table, 4.0, 8.1)
    about_far = [state for one, state in states(changes) if one == far]
    assert about_far[-2:] == [MemberState.SUSPECTED, MemberState.GONE]


def test_member_sends_heartbeats_at_once_when_suspected() -> None:
    """A suspected instance must show that it runs before it is declared gone."""
    table = make_table()
    table.observe(make_facts("a2"), 0.0)
    table.sent("a2", 0.0)
    assert not table.heartbeat_due("a2", 0.1)

    table.observe(make_facts("a2", suspected=(make_facts("a1").incarnation,)), 0.1)

    assert table.heartbeat_due("a2", 0.1)
    table.heartbeats_sent()
    assert not table.heartbeat_due("a2", 0.1)


def test_silence_before_a_new_link_does_not_count() -> None:
    """
    A neighbour dies, and the ring links this instance to a member that had no reason
    to send anything for an hour. The time before the link must not count as silence.
    """
    table = make_table("a0")
    for number in range(1, 9):
        table.observe(make_facts(f"a{number}"), 0.0)
    send_to_neighbours(table)
    near = set(table.heartbeat_peer_ids())
    lost = min(near)
    now = 0.0
    for second in range(20):
        now = float(second)
        for one in near - {lost}:
            table.heard(make_facts(one).incarnation, now)
        changes = table.tick(now)
        assert all(change.instance_id == lost for change in changes) or second == 0
        if set(table.heartbeat_peer_ids()) - near:
            break

    assert set(table.heartbeat_peer_ids()) - near
    assert states(table.tick(now)) == []


def test_highest_configuration_version_is_reported() -> None:
    table = make_table()
    table.observe(make_facts("a2", version=7), 0.0)
    table.observe(make_facts("a3", version=5), 0.0)

    assert table.highest_version() == 7


def test_gone_member_is_no_longer_named_as_suspected() -> None:
    """Suspicions of gone members would fill the limited list in heartbeats."""
    table = make_table()
    table.observe(make_facts("a2"), 0.0)
    run_ticks(table, 0.0, 3.0)
    assert table.suspicions() == [make_facts("a2").incarnation]

    run_ticks(table, 3.1, 4.5)

    assert table.suspicions() == []


def test_gone_member_is_forgotten_after_its_time() -> None:
    table = make_table()
    table.observe(make_facts("a2"), 0.0)
    run_ticks(table, 0.0, 4.5)
    for second in range(5, 604):
        table.tick(float(second))
    assert "a2" in table.members_by_id

    table.tick(604.5)

    assert table.members_by_id == {}
