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


def test_a_slow_target_is_ejected_and_comes_back_once_it_is_well() -> None:
    """A target slows down ten times, then recovers.

    Callers see jobs wait for it until it is ejected; after its term it gets one
    task at a time, and all its slots when those were good.
    """
    pool = Pool()
    pool.run(1.0)
    pool.run(1.0, run_s=lambda target: 1.0 if target == "r0" else 0.1)
    assert pool.states()[0] is HealthState.EJECTED
    assert set(pool.states()[1:]) == {HealthState.HEALTHY}
    pool.run(5.0)
    assert pool.states()[0] is HealthState.HEALTHY


def test_a_target_that_answers_nothing_is_judged_by_what_it_still_runs() -> None:
    pool = Pool()
    pool.run(1.0)
    for index in range(8):
        pool.health.started("r0", TaskKey("stuck", index), "price", pool.now)
    pool.run(1.0, stuck="r0")
    assert pool.states()[0] is HealthState.EJECTED


def test_a_target_that_fails_everything_is_ejected() -> None:
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
    """A hot key or a slow store slows many targets at once.

    Ejecting them all would leave nothing to run on, and callers would be
    refused on workers that still work.
    """
    pool = Pool()
    pool.run(1.0)
    pool.run(3.0, run_s=slow)
    assert pool.states().count(HealthState.HEALTHY) >= 6


@pytest.mark.parametrize("targets", [2, 3, 8])
def test_a_target_that_keeps_failing_goes_from_probation_back_at_once(
    targets: int,
) -> None:
    """A worker fails everything for half a minute.

    Each trial costs the callers of the tasks that it gets. With two or three
    targets it takes all the room of the cap itself, which must not keep it on
    probation; its trials get rarer and end after two failures.
    """
    pool = Pool(targets=targets)
    pool.run(1.0)
    pool.run(30.0, ok=lambda target: target != "r0")
    assert pool.states()[0] is HealthState.EJECTED
    assert pool.finished_by_target["r0"] < 60
    pool.run(60.0)
    assert set(pool.states()) == {HealthState.HEALTHY}


def test_failures_of_all_targets_eject_none() -> None:
    pool = Pool()
    pool.run(1.0)
    pool.run(2.0, ok=lambda _: False)
    assert set(pool.states()) == {HealthState.HEALTHY}


def test_a_few_long_tasks_are_no_slowness() -> None:
    pool = Pool()
    pool.run(1.0)
    long_every_fifth = iter(range(10_000))
    pool.run(3.0, run_s=lambda _: 3.0 if next(long_every_fifth) % 5 == 0 else 0.1)
    assert set(pool.states()) == {HealthState.HEALTHY}


def test_long_tasks_on_every_target_eject_none() -> None:
    """Half of all tasks use a hot key and take ten times as long.

    Every target looks slow by its own results; none is slower than its peers,
    and ejecting any would only take slots away from the callers.
    """
    pool = Pool()
    pool.run(1.0)
    numbers = iter(range(100_000))
    pool.run(5.0, run_s=lambda _: 1.0 if next(numbers) % 9 < 4 else 0.1)
    assert set(pool.states()) == {HealthState.HEALTHY}


def test_only_target_is_never_ejected() -> None:
    health = TargetHealth(settings=HealthSettings())
    health.add("r0", 8)
    for index in range(20):
        key = TaskKey("s", index)
        health.started("r0", key, "price", 0.0)
        health.finished("r0", key, "price", 0.1, False, 0.0)
    assert health.tick(1.0) == []
    assert health.state_of("r0") is HealthState.HEALTHY


def test_a_lost_target_and_unknown_ones_are_taken_in() -> None:
    health = TargetHealth(settings=HealthSettings())
    health.add("r0", 8)
    health.started("r0", TaskKey("s", 0), "price", 0.0)
    health.lost("r0", 1.0)
    health.remove("r0")
    health.started("r0", TaskKey("s", 1), "price", 0.0)
    health.finished("r0", TaskKey("s", 1), "price", 0.1, True, 0.0)
    health.lost("r0", 1.0)
    assert health.tick(2.0) == []
