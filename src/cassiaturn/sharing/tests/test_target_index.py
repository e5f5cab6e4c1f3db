"""The index chooses the same target as an examination of all of them."""

from hypothesis import given
from hypothesis import strategies as st

from cassiaturn.entities import Resources, TaskGroup
from cassiaturn.sharing import GroupKey, SharedTarget, TargetIndex, choose_shared_target

KEY = GroupKey("a", 0, 0)

GROUPS = st.builds(
    TaskGroup,
    count=st.just(1),
    resources=st.builds(
        Resources,
        cpu_millis=st.sampled_from([0, 1_000, 6_800, 9_000]),
        memory_mib=st.sampled_from([0, 10, 600]),
    ),
    required_label=st.sampled_from(["", "", "kind-b"]),
    preferred_rack=st.sampled_from(["", "", "rack-2"]),
    max_per_target=st.sampled_from([0, 0, 1]),
)

TARGETS = st.lists(
    st.builds(
        SharedTarget,
        target_id=st.uuids().map(str),
        failure_domain=st.sampled_from(["d", "e"]),
        capacity=st.builds(
            Resources,
            cpu_millis=st.sampled_from([0, 16_000, 24_000]),
            memory_mib=st.just(1_000),
        ),
        labels=st.frozensets(st.sampled_from(["kind-b", "rack-2"])),
        slowness=st.sampled_from([1.0, 2.5]),
    ),
    max_size=8,
)

CHANGES = st.lists(
    st.tuples(
        st.integers(0, 7), st.sampled_from(["take", "give_back", "pace", "slow"])
    ),
    max_size=30,
)

TASK = Resources(cpu_millis=5_000, memory_mib=300)


def _change(target: SharedTarget, change: str) -> None:
    match change:
        case "take" if target.has_free(TASK):
            target.allocate(TASK, KEY)
        case "give_back" if target.tasks_by_group:
            target.release(TASK, KEY)
        case "pace":
            target.speed.observe(8.0)
            target.note_change()
        case "slow":
            target.slowness = 3.5 - target.slowness
            target.note_change()


def _is_usable(target: SharedTarget) -> bool:
    return True


@given(
    targets=TARGETS,
    changes=CHANGES,
    group=GROUPS,
    is_tight=st.booleans(),
    avoids_first=st.booleans(),
    preferred_domain=st.sampled_from(["", "e"]),
    removed=st.integers(0, 8),
)
def test_index_chooses_the_same_target_as_a_full_scan(
    targets: list[SharedTarget],
    changes: list[tuple[int, str]],
    group: TaskGroup,
    is_tight: bool,
    avoids_first: bool,
    preferred_domain: str,
    removed: int,
) -> None:
    """An index that misses a change starts tasks on targets without free resources."""
    index = TargetIndex[SharedTarget]()
    for target in targets:
        index.add(target)
    for position, change in changes:
        if position < len(targets):
            _change(targets[position], change)
            assert index.largest_free_cpu_millis(_is_usable) == max(
                target.capacity.cpu_millis - target.used_cpu_millis
                for target in targets
            )
    if removed < len(targets):
        index.remove(targets.pop(removed))
    avoided = frozenset(target.target_id for target in targets[:1] if avoids_first)
    unusable = targets[1:2]
    usable = [target for target in targets if target not in unusable]
    assert index.choose(
        group,
        KEY,
        is_usable=lambda target: target not in unusable,
        avoided=avoided,
        is_tight=is_tight,
        preferred_domain=preferred_domain,
    ) is choose_shared_target(
        group,
        KEY,
        usable,
        avoided=avoided,
        is_tight=is_tight,
        preferred_domain=preferred_domain,
    )


def test_a_target_is_found_by_its_labels_after_they_change() -> None:
    """Guards against a wrong rack, and an error at the removal, after a restart."""
    index = TargetIndex[SharedTarget]()
    target = SharedTarget(
        target_id="t",
        failure_domain="d",
        capacity=Resources(cpu_millis=16_000, memory_mib=1_000),
        labels=frozenset({"rack-1"}),
        slowness=2.5,
    )
    other = SharedTarget(
        target_id="o",
        failure_domain="d",
        capacity=Resources(cpu_millis=16_000, memory_mib=1_000),
    )
    index.add(target)
    index.add(other)
    target.labels = frozenset({"rack-2"})
    target.note_change()
    chosen = {
        rack: index.choose(
            TaskGroup(count=1, resources=TASK, preferred_rack=rack),
            KEY,
            is_usable=_is_usable,
            remote_factor=3.0,
        )
        for rack in ("rack-1", "rack-2")
    }
    assert chosen == {"rack-1": other, "rack-2": target}
    index.remove(target)
    assert index.targets == [other]
