from collections import Counter
from collections.abc import Callable

import pytest

from cassiaturn.entities import TaskKey
from cassiaturn.policy import HealthSettings, HealthState, TargetHealth


class Pool:
    """Runs a task on each target every 50 ms, in virtual time."""

    def __init__(self, targets: int = 8) -> None:
        self.targets = [f"r{index}" for index in range(targets)]
        self.finished_by_target: Counter[str] = Counter()
        self.health = TargetHealth(settings=HealthSettings())
        self.now = 0.0
        self.number = 0
        for target in self.targets:
            self.health.add(target, 8)

    def run(
        self,
        seconds: float,
        run_s: Callable[[str], float] = lambda _: 0.1,
        ok: Callable[[str], bool] = lambda _: True,
        stuck: str = "",
    ) -> None:
        end = self.now + seconds
        while self.now < end:
            for target in self.targets:
                ejected = self.health.state_of(target) is HealthState.EJECTED
                if not ejected and target != stuck:
                    self._finish(target, run_s(target), ok(target))
            self.now += 0.05
            self.health.tick(self.now)

    def _finish(self, target: str, run_s: float, ok: bool) -> None:
        self.number += 1
        self.finished_by_target[target] += 1
        key = TaskKey("s", self.number)
        self.health.started(target, key, "price", self.now)
        self.health.finished(target, key, "price", run_s, ok, self.now)

    def states(self) -> list[HealthState]:
        return [self.health.state_of(target) for target in self.targets]


def test_a_slow_target_is_ejected_and_returns_after_recovery() -> None:
    """A target becomes ten times slower, then recovers.

    Jobs wait for it until it is ejected. After the ejection it gets one task at a
    time, and all its slots once those tasks had good results.
    """
    pool = Pool()
    pool.run(1.0)
    pool.run(1.0, run_s=lambda target: 1.0 if target == "r0" else 0.1)
    assert pool.states()[0] is HealthState.EJECTED
    assert set(pool.states()[1:]) == {HealthState.HEALTHY}
    pool.run(5.0)
    assert pool.states()[0] is HealthState.HEALTHY


def test_a_target_without_results_is_ejected_for_overdue_tasks() -> None:
    """Guards against a hanging target that stays in use as it reports no result."""
    pool = Pool()
    pool.run(1.0)
    for index in range(8):
        pool.health.started("r0", TaskKey("stuck", index), "price", pool.now)
    pool.run(1.0, stuck="r0")
    assert pool.states()[0] is HealthState.EJECTED


def test_a_target_that_fails_everything_is_ejected() -> None:
    """Guards against a target that attracts work because it fails quickly."""
    pool = Pool()
    pool.run(1.0)
    pool.run(1.0, ok=lambda target: target != "r0")
    assert pool.states()[0] is HealthState.EJECTED
    assert set(pool.states()[1:]) == {HealthState.HEALTHY}


@pytest.mark.parametrize(
    "slow", [lambda _: 1.0, lambda target: 1.0 if target < "r4" else 0.1]
)
def test_a_common_cause_ejects_no_more_than_the_cap(
    slow: Callable[[str], float],
) -> None:
    """A hot key or a slow store slows many targets down at once.

    Ejecting them all would leave no slots, and callers would be refused although
    the workers still work.
    """
    pool = Pool()
    pool.run(1.0)
    pool.run(3.0, run_s=slow)
    assert pool.states().count(HealthState.HEALTHY) >= 6


@pytest.mark.parametrize("targets", [2, 3, 8])
def test_a_target_that_fails_on_probation_is_ejected_again(
    targets: int,
) -> None:
    """A worker fails every task for half a minute.

    Each probation fails tasks of callers, so it must end after two failures and
    become rarer. With two or three targets, this target alone fills the cap on
    ejections, which must not keep it on probation.
    """
    pool = Pool(targets=targets)
    pool.run(1.0)
    pool.run(30.0, ok=lambda target: target != "r0")
    assert pool.states()[0] is HealthState.EJECTED
    assert pool.finished_by_target["r0"] < 60
    pool.run(60.0)
    assert set(pool.states()) == {HealthState.HEALTHY}


def test_failures_of_all_targets_eject_none() -> None:
    """Guards against ejections for a common cause, such as a failed store."""
    pool = Pool()
    pool.run(1.0)
    pool.run(2.0, ok=lambda _: False)
    assert set(pool.states()) == {HealthState.HEALTHY}


def test_a_few_long_tasks_do_not_make_a_target_slow() -> None:
    """Guards against ejections because one task in five is long."""
    pool = Pool()
    pool.run(1.0)
    numbers = iter(range(10_000))
    pool.run(3.0, run_s=lambda _: 3.0 if next(numbers) % 5 == 0 else 0.1)
    assert set(pool.states()) == {HealthState.HEALTHY}


def test_long_tasks_on_every_target_eject_none() -> None:
    """Half of all tasks use a hot key and take ten times as long.

    Every target looks slow by its own results, but none is slower than its peers.
    Ejecting any would only remove slots.
    """
    pool = Pool()
    pool.run(1.0)
    numbers = iter(range(100_000))
    pool.run(5.0, run_s=lambda _: 1.0 if next(numbers) % 9 < 4 else 0.1)
    assert set(pool.states()) == {HealthState.HEALTHY}


def test_only_target_is_never_ejected() -> None:
    """Guards against an instance that ejects its only target and has no slots."""
    health = TargetHealth(settings=HealthSettings())
    health.add("r0", 8)
    for index in range(20):
        key = TaskKey("s", index)
        health.started("r0", key, "price", 0.0)
        health.finished("r0", key, "price", 0.1, False, 0.0)
    assert health.tick(1.0) == []
    assert health.state_of("r0") is HealthState.HEALTHY


def test_events_of_lost_and_unknown_targets_are_accepted() -> None:
    """Guards against errors when events arrive after their target was removed."""
    health = TargetHealth(settings=HealthSettings())
    health.add("r0", 8)
    health.started("r0", TaskKey("s", 0), "price", 0.0)
    health.lost("r0", 1.0)
    health.remove("r0")
    health.started("r0", TaskKey("s", 1), "price", 0.0)
    health.finished("r0", TaskKey("s", 1), "price", 0.1, True, 0.0)
    health.lost("r0", 1.0)
    assert health.tick(2.0) == []
