import pytest

from cassiaturn.entities import Resources, TaskGroup
from cassiaturn.sharing import GroupKey, SharedTarget, choose_shared_target

KEY = GroupKey("a", 0, 0)


def _target(
    name: str,
    cpu: int,
    used: int = 0,
    *,
    failure_domain: str = "d",
    **fields: object,
) -> SharedTarget:
    target = SharedTarget(
        target_id=name,
        failure_domain=failure_domain,
        capacity=Resources(cpu_millis=cpu, memory_mib=1_000),
        **fields,  # type: ignore[arg-type]
    )
    target.used_cpu_millis = used
    return target


def _group(cpu: int = 6_800, **fields: object) -> TaskGroup:
    resources = Resources(cpu_millis=cpu, memory_mib=10)
    return TaskGroup(count=1, resources=resources, **fields)  # type: ignore[arg-type]


def _chosen(group: TaskGroup, *targets: SharedTarget, **options: object) -> str | None:
    target = choose_shared_target(group, KEY, targets, **options)  # type: ignore[arg-type]
    return target.target_id if target is not None else None


def test_fullest_target_that_fits_is_chosen() -> None:
    chosen = _chosen(
        _group(),
        _target("empty", 16_000),
        _target("half", 16_000, 8_000),
        _target("full", 16_000, 12_000),
    )
    assert chosen == "half"


def test_two_task_sizes_pack_without_fragments() -> None:
    """5-core tasks are placed on 16-core workers, then 9-core tasks.

    Least loaded first spreads the small ones until no worker has 9 cores free.
    """
    targets = [_target(f"t{index}", 16_000) for index in range(4)]
    placed = 0
    for cpu in (5_000, 5_000, 5_000, 9_000, 9_000, 9_000):
        group = _group(cpu)
        target = choose_shared_target(group, KEY, targets)
        if target is not None:
            target.allocate(group.resources, KEY)
            placed += 1
    assert placed == 6


@pytest.mark.parametrize(
    ("group", "chosen"),
    [
        (_group(), "plain"),
        (_group(required_label="gpu-kind"), "labelled"),
        (_group(preferred_rack="rack-2"), "labelled"),
        (_group(max_per_target=1), "labelled"),
        (_group(cpu=20_000), None),
    ],
)
def test_constraints_of_a_group_are_honoured(
    group: TaskGroup, chosen: str | None
) -> None:
    plain = _target("plain", 16_000, 1_000)
    plain.tasks_by_group[KEY] = 1
    labels = frozenset({"gpu-kind", "rack-2"})
    labelled = _target("labelled", 16_000, labels=labels)
    assert _chosen(group, plain, labelled) == chosen


def test_slow_and_avoided_targets_are_chosen_last() -> None:
    """Otherwise jobs are late, or tasks fail again, while another target is free."""
    slow = _target("slow", 16_000, 8_000, slowness=4.0)
    sound = _target("sound", 16_000)
    assert _chosen(_group(), slow, sound) == "sound"
    assert _chosen(_group(), slow, sound, avoided=frozenset({"sound"})) == "slow"
    assert _chosen(_group(), slow) == "slow"


def test_tight_tasks_get_fast_targets_and_others_slow_ones() -> None:
    """Otherwise short tasks occupy the fast targets, and tight ones end too late."""
    fast, usual = _target("fast", 16_000), _target("usual", 16_000)
    for _ in range(100):
        fast.speed.observe(0.8)
        usual.speed.observe(1.2)
    assert _chosen(_group(), fast, usual, is_tight=True) == "fast"
    assert _chosen(_group(), fast, usual) == "usual"


@pytest.mark.parametrize(
    ("used_away", "is_tight", "chosen"),
    [
        (0, False, "home"),
        (5_000, False, "away"),
        (0, True, "home"),
    ],
)
def test_tasks_prefer_the_failure_domain_of_their_callers_member(
    used_away: int, is_tight: bool, chosen: str
) -> None:
    """Otherwise jobs span all domains, and a partition between them ends most jobs."""
    home = _target("home", 16_000, failure_domain="h")
    away = _target("away", 16_000, used_away, failure_domain="e")
    assert (
        _chosen(_group(), away, home, is_tight=is_tight, preferred_domain="h") == chosen
    )


def test_tight_task_leaves_its_domain_for_a_much_faster_target() -> None:
    home = _target("home", 16_000, failure_domain="h")
    away = _target("away", 16_000, failure_domain="e")
    for _ in range(100):
        away.speed.observe(0.7)
    assert _chosen(_group(), home, away, is_tight=True, preferred_domain="h") == "away"


def test_release_without_allocation_raises() -> None:
    with pytest.raises(AssertionError, match="never began"):
        _target("t", 16_000).release(Resources(cpu_millis=1), KEY)
