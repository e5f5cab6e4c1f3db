"""Tests of which leaders may still have runs of a job."""

import pytest

from cassiaturn.fleet._leader_history import LeaderHistory


def _history(*left: tuple[int, float]) -> LeaderHistory:
    history = LeaderHistory()
    for token, left_at in left:
        history.note_left(token, left_at)
    return history


@pytest.mark.parametrize(
    ("left", "since", "expected"),
    [
        pytest.param([], 0.0, set(), id="no leader was left"),
        pytest.param([(1, 9.9)], 9.0, {1}, id="one"),
        pytest.param([(1, 9.0), (2, 9.9)], 8.0, {1, 2}, id="two within the hold"),
        pytest.param([(1, 8.0), (2, 9.9)], 7.0, {2}, id="the first is long over"),
        pytest.param([(1, 9.0), (2, 9.9)], 9.5, {2}, id="never passed to the first"),
        pytest.param([(1, 2.0)], 1.0, {1}, id="the last one counts for ever"),
        pytest.param([(1, 9.0), (1, 9.9)], 8.0, {1}, id="the same leader twice"),
    ],
)
def test_leaders_that_may_have_runs_of_a_job(
    left: list[tuple[int, float]], since: float, expected: set[int]
) -> None:
    """Guards against a leader that is forgotten while its tasks still run."""
    assert _history(*left).tokens_since(since, now=10.0) == expected
