"""Speeds of targets, from what they have in common and from the tasks of one job."""

import random

from cassiaturn.sharing import SpeedEstimate, SpeedModel
from cassiaturn.sharing._speed_model import MOST_LABELS

SLOW_RATIO = 1.3


def _run_ratio(rng: random.Random, job_error: float, *, is_slow: bool) -> float:
    """Return a run's length over its expected one."""
    speed = SLOW_RATIO if is_slow else 1.0
    return speed * job_error * rng.lognormvariate(0.0, 0.15)


def _play_jobs(
    book: SpeedModel, paces: list[SpeedEstimate], jobs: int, *, tasks: int
) -> None:
    """Let a book see jobs whose tasks run on targets of which each third is slow."""
    rng = random.Random(1)
    for _ in range(jobs):
        job_error = rng.lognormvariate(0.0, 0.4)
        places = rng.sample(range(len(paces)), tasks)
        book.observe_job(
            [
                (paces[place], _run_ratio(rng, job_error, is_slow=place % 3 == 2))
                for place in places
            ]
        )


def _labels(place: int) -> list[str]:
    kind = "b" if place % 3 == 2 else "a"
    return [kind, f"rack-{place // 12}"]


def test_a_target_that_never_ran_anything_has_the_speed_of_its_kind() -> None:
    """Each new target was taken for a usual one, and long tasks were sent to it."""
    book = SpeedModel()
    paces = [book.new_estimate(_labels(place)) for place in range(60)]
    _play_jobs(book, paces, 60, tasks=4)
    slow, usual = book.new_estimate(_labels(2)), book.new_estimate(_labels(0))
    assert 1.15 <= slow.ratio / usual.ratio <= 1.45


def test_the_tasks_of_a_job_tell_targets_apart_that_have_nothing_in_common() -> None:
    """A job declared for half its length made all of its targets seem slow."""
    book = SpeedModel()
    paces = [book.new_estimate([]) for _ in range(12)]
    _play_jobs(book, paces, 60, tasks=4)
    slow = min(speed.ratio for place, speed in enumerate(paces) if place % 3 == 2)
    usual = max(speed.ratio for place, speed in enumerate(paces) if place % 3 != 2)
    assert slow > usual


def test_jobs_of_one_task_tell_speeds_too() -> None:
    book = SpeedModel()
    paces = [book.new_estimate(_labels(place)) for place in range(60)]
    _play_jobs(book, paces, 600, tasks=1)
    slow, usual = book.new_estimate(_labels(2)), book.new_estimate(_labels(0))
    assert slow.ratio / usual.ratio > 1.15


def test_a_target_with_very_many_labels_costs_no_more_than_others() -> None:
    """An entry of another writer kept the leader busy at every run."""
    speed = SpeedModel().new_estimate(str(number) for number in range(5_000))
    assert len(speed.effects) <= 2 + MOST_LABELS


def test_what_targets_have_in_common_is_told_when_it_has_moved() -> None:
    """The index kept idle targets of a slow kind where usual ones stand."""
    book = SpeedModel()
    paces = [book.new_estimate(_labels(place)) for place in range(12)]
    assert not book.shared_effects_changed()
    _play_jobs(book, paces, 60, tasks=4)
    assert book.shared_effects_changed()
    assert not book.shared_effects_changed()
