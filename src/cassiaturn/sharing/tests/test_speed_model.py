"""Speed estimates from shared properties of targets and from the tasks of one job."""

import random

from cassiaturn.sharing import SpeedEstimate, SpeedModel
from cassiaturn.sharing._speed_model import MAX_LABELS

SLOW_RATIO = 1.3


def _run_ratio(rng: random.Random, job_error: float, *, is_slow: bool) -> float:
    """Return a run time over the expected one."""
    slowdown = SLOW_RATIO if is_slow else 1.0
    return slowdown * job_error * rng.lognormvariate(0.0, 0.15)


def _observe_jobs(
    model: SpeedModel, speeds: list[SpeedEstimate], jobs: int, *, tasks: int
) -> None:
    """Feed the model jobs that run on targets of which every third is slow."""
    rng = random.Random(1)
    for _ in range(jobs):
        job_error = rng.lognormvariate(0.0, 0.4)
        indexes = rng.sample(range(len(speeds)), tasks)
        model.observe_job(
            [
                (speeds[index], _run_ratio(rng, job_error, is_slow=index % 3 == 2))
                for index in indexes
            ]
        )


def _labels(index: int) -> list[str]:
    kind = "b" if index % 3 == 2 else "a"
    return [kind, f"rack-{index // 12}"]


def test_new_target_has_the_speed_of_its_kind() -> None:
    """Otherwise a new target of a slow kind counts as average and gets long tasks."""
    model = SpeedModel()
    speeds = [model.new_estimate(_labels(index)) for index in range(60)]
    _observe_jobs(model, speeds, 60, tasks=4)
    slow, usual = model.new_estimate(_labels(2)), model.new_estimate(_labels(0))
    assert 1.15 <= slow.ratio / usual.ratio <= 1.45


def test_tasks_of_one_job_distinguish_targets_without_common_labels() -> None:
    """Otherwise a job declared at half its run time makes all its targets look slow."""
    model = SpeedModel()
    speeds = [model.new_estimate([]) for _ in range(12)]
    _observe_jobs(model, speeds, 60, tasks=4)
    slow = min(speed.ratio for index, speed in enumerate(speeds) if index % 3 == 2)
    usual = max(speed.ratio for index, speed in enumerate(speeds) if index % 3 != 2)
    assert slow > usual


def test_jobs_of_one_task_reveal_speeds() -> None:
    model = SpeedModel()
    speeds = [model.new_estimate(_labels(index)) for index in range(60)]
    _observe_jobs(model, speeds, 600, tasks=1)
    slow, usual = model.new_estimate(_labels(2)), model.new_estimate(_labels(0))
    assert slow.ratio / usual.ratio > 1.15


def test_number_of_labels_per_target_is_bounded() -> None:
    """Otherwise an entry with thousands of labels slows the leader at every run."""
    speed = SpeedModel().new_estimate(str(number) for number in range(5_000))
    assert len(speed.effects) <= 2 + MAX_LABELS


def test_change_of_shared_effects_is_reported_once() -> None:
    """Otherwise the index keeps idle targets of a slow kind among the average ones."""
    model = SpeedModel()
    speeds = [model.new_estimate(_labels(index)) for index in range(12)]
    assert not model.shared_effects_changed()
    _observe_jobs(model, speeds, 60, tasks=4)
    assert model.shared_effects_changed()
    assert not model.shared_effects_changed()
