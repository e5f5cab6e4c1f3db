"""Members that are silent, leaving, gone, replaced, or listed late."""

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

DRAWN = "00112233"


def facts(
    instance_id: str,
    *,
    boot: str = "10",
    state: MemberState = MemberState.READY,
    suspected: Sequence[str] = (),
    version: int = 0,
) -> MemberFacts:
    return MemberFacts(
        instance_id=instance_id,
        incarnation=f"{instance_id}~{boot}{DRAWN}",
        failure_domain=instance_id[0],
        state=state,
        suspected=suspected,
        configuration_version=version,
    )


def members(me: str = "a1", seed: int = 1) -> MembershipTable:
    return MembershipTable(
        me=MemberRow(facts=facts(me)),
        settings=MembershipSettings(),
        rng=random.Random(seed),
    )


def states(changes: Sequence[MemberChange]) -> list[tuple[str, MemberState]]:
    return [(change.instance_id, change.after) for change in changes]


def run(table: MembershipTable, start: float, end: float) -> list[MemberChange]:
    changes: list[MemberChange] = []
    ticks = round((end - start) * 10)
    for tick in range(ticks + 1):
        changes.extend(table.tick(start + tick / 10))
    return changes


def greet_all(table: MembershipTable) -> None:
    for instance_id in list(table.neighbours()):
        table.sent(instance_id, 0.0)


def test_a_paused_instance_takes_nobody_for_gone() -> None:
    """
    An instance is stopped for a minute and wakes with a minute of unread frames.
    All others seem silent since then; judged by that, it would take them over.
    """
    table = members()
    table.observe(facts("a2"), 0.0)
    run(table, 0.0, 1.0)
    assert table.tick(61.0) == []
    table.heard(facts("a2").incarnation, 61.1)
    assert run(table, 61.1, 63.0) == []


def test_a_member_whose_port_refuses_twice_is_gone_at_once() -> None:
    """
    A process dies on a living host. Its link breaks and its port refuses, so its
    callers need not wait for the end of a silence that is already explained.
    """
    table = members()
    table.observe(facts("a2"), 0.0)
    run(table, 0.0, 1.0)
    table.refused("a2", 1.0)
    assert run(table, 1.0, 1.1) == []
    table.disconnected(facts("a2").incarnation, 1.1)
    table.refused("a2", 1.2)
    assert states(run(table, 1.2, 1.5)) == [("a2", MemberState.SUSPECTED)]
    table.refused("a2", 1.7)
    assert states(run(table, 1.7, 1.8)) == [("a2", MemberState.GONE)]


def test_a_silent_member_is_suspected_then_gone() -> None:
    """
    A host vanishes. Its neighbours suspect it after 2.5 s, when nothing moves yet,
    and take it for gone after 4 s, when its targets move and a takeover may begin.
    """
    table = members()
    table.observe(facts("a2"), 0.0)

    assert states(run(table, 0.0, 2.4)) == [("a2", MemberState.READY)]
    assert states(run(table, 2.5, 3.9)) == [("a2", MemberState.SUSPECTED)]
    assert table.live("a") == ["a1", "a2"]
    assert states(run(table, 4.0, 4.1)) == [("a2", MemberState.GONE)]
    assert table.live("a") == ["a1"]


def test_any_frame_refutes_a_suspicion() -> None:
    table = members()
    table.observe(facts("a2"), 0.0)
    run(table, 0.0, 3.0)

    table.heard(facts("a2").incarnation, 3.0)

    assert states(run(table, 3.0, 5.0)) == [("a2", MemberState.READY)]


def test_a_broken_link_is_a_suspicion_at_once() -> None:
    table = members()
    table.observe(facts("a2"), 0.0)
    table.tick(0.0)
    table.disconnected(facts("a2").incarnation, 0.5)

    assert states(run(table, 0.5, 4.1)) == [
        ("a2", MemberState.SUSPECTED),
        ("a2", MemberState.GONE),
    ]


def test_a_broken_link_to_a_quiet_member_does_not_end_it() -> None:
    """
    A connection breaks to a member that is no neighbour and was last heard an hour
    ago. It is asked first; a successor of a living home would refuse its work.
    """
    table = members("a0")
    for number in range(1, 9):
        table.observe(facts(f"a{number}"), 0.5)
    greet_all(table)
    far = next(f"a{n}" for n in range(1, 9) if f"a{n}" not in table.neighbours())
    near = set(table.neighbours())
    for second in range(1, 3600):
        for one in near:
            table.heard(facts(one).incarnation, float(second))
        table.tick(float(second))
    table.disconnected(facts(far).incarnation, 3599.5)

    assert states(table.tick(3600.0)) == [(far, MemberState.SUSPECTED)]
    assert far in table.neighbours()
    assert table.heartbeat_due(far, 3600.0)
    table.heard(facts(far).incarnation, 3600.1)
    assert states(table.tick(3600.2)) == [(far, MemberState.READY)]


def test_a_restarted_member_replaces_its_earlier_life() -> None:
    """
    A host is replaced under the same instance id. The earlier life ends at once,
    and a late frame of it changes nothing: else the living one would be succeeded.
    """
    table = members()
    table.observe(facts("a2", boot="10"), 0.0)
    table.tick(0.0)
    table.observe(facts("a2", boot="20"), 1.0)
    table.observe(facts("a2", boot="10"), 1.1)

    changes = table.tick(1.1)

    old, new = facts("a2", boot="10"), facts("a2", boot="20")
    assert [one.incarnation for one in changes] == [old.incarnation, new.incarnation]
    assert changes[0].superseded_by == new.incarnation
    assert changes[0].after is MemberState.GONE
    assert table.members_by_id["a2"].facts.incarnation == new.incarnation


def test_a_clock_that_went_back_delays_a_restart_only() -> None:
    table = members()
    table.observe(facts("a2", boot="20"), 0.0)
    table.observe(facts("a2", boot="10"), 1.0)
    assert (
        table.members_by_id["a2"].facts.incarnation
        == facts("a2", boot="20").incarnation
    )
    run(table, 0.0, 4.5)

    table.observe(facts("a2", boot="10"), 4.6)

    changes = table.tick(4.6)
    assert [change.superseded_by for change in changes] == ["", ""]
    assert table.members_by_id["a2"].state is MemberState.READY


def test_a_leaving_member_holds_nothing() -> None:
    table = members()
    table.observe(facts("a2"), 0.0)
    table.observe(facts("a2", state=MemberState.LEAVING), 0.5)

    assert states(table.tick(0.5)) == [("a2", MemberState.LEAVING)]
    assert table.live("a") == ["a1"]


def test_the_platforms_list_is_a_hint_only() -> None:
    """
    The list lags: it still names a host that is gone, misses one that is heard, and
    says that a third is about to leave. Only the last is believed.
    """
    table = members()
    for instance_id in ("a2", "a3", "a4"):
        table.observe(facts(instance_id), 0.0)
    run(table, 0.0, 4.1)
    for instance_id in ("a3", "a4"):
        table.observe(facts(instance_id), 4.2)
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


def test_a_listed_host_that_never_speaks_is_forgotten_with_the_list() -> None:
    table = members()
    table.hint([HostHint(instance_id="a2", failure_domain="a")])
    assert "a2" in table.neighbours()
    assert states(run(table, 0.0, 4.2))[-1] == ("a2", MemberState.GONE)

    table.hint([])

    assert table.members_by_id == {}


def test_a_rumour_is_checked_before_it_is_believed() -> None:
    """
    A neighbour cannot hear a third member; we have no link to that one. We ask it
    ourselves: an answer ends the rumour here, silence makes it our own suspicion.
    """
    table = members("a0")
    for number in range(1, 9):
        table.observe(facts(f"a{number}"), 0.0)
    far = next(f"a{n}" for n in range(1, 9) if f"a{n}" not in table.neighbours())
    near = min(table.neighbours())
    rumour = facts(near, suspected=(facts(far).incarnation,))
    table.observe(rumour, 2.0)

    assert far in table.neighbours()
    assert table.heartbeat_due(far, 2.0)
    table.heard(facts(far).incarnation, 2.1)
    assert far not in table.neighbours()

    table.observe(rumour, 4.0)
    changes = run(table, 4.0, 8.1)
    about_far = [state for one, state in states(changes) if one == far]
    assert about_far[-2:] == [MemberState.SUSPECTED, MemberState.GONE]


def test_a_member_answers_a_rumour_of_itself() -> None:
    table = members()
    table.observe(facts("a2"), 0.0)
    table.sent("a2", 0.0)
    assert not table.heartbeat_due("a2", 0.1)

    table.observe(facts("a2", suspected=(facts("a1").incarnation,)), 0.1)

    assert table.heartbeat_due("a2", 0.1)
    table.heartbeats_sent()
    assert not table.heartbeat_due("a2", 0.1)


def test_a_new_link_starts_with_patience() -> None:
    """
    A neighbour dies and the ring closes over it: a member that was no neighbour,
    and had no reason to speak for an hour, becomes one. It is not silent yet.
    """
    table = members("a0")
    for number in range(1, 9):
        table.observe(facts(f"a{number}"), 0.0)
    greet_all(table)
    near = set(table.neighbours())
    lost = min(near)
    now = 0.0
    for second in range(20):
        now = float(second)
        for one in near - {lost}:
            table.heard(facts(one).incarnation, now)
        changes = table.tick(now)
        assert all(change.instance_id == lost for change in changes) or second == 0
        if set(table.neighbours()) - near:
            break

    assert set(table.neighbours()) - near
    assert states(table.tick(now)) == []


def test_the_highest_version_told_is_known() -> None:
    table = members()
    table.observe(facts("a2", version=7), 0.0)
    table.observe(facts("a3", version=5), 0.0)

    assert table.highest_version() == 7


def test_a_gone_member_is_no_rumour_any_more() -> None:
    table = members()
    table.observe(facts("a2"), 0.0)
    run(table, 0.0, 3.0)
    assert table.suspicions() == [facts("a2").incarnation]

    run(table, 3.1, 4.5)

    assert table.suspicions() == []


def test_a_gone_member_is_forgotten_in_the_end() -> None:
    table = members()
    table.observe(facts("a2"), 0.0)
    run(table, 0.0, 4.5)
    for second in range(5, 604):
        table.tick(float(second))
    assert "a2" in table.members_by_id

    table.tick(604.5)

    assert table.members_by_id == {}
