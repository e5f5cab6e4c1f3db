import pytest

from cassiaturn.entities import Reason
from cassiaturn.policy import GiveUp, PreviousRun, Retry, RetryBudget, RetrySettings

SETTINGS = RetrySettings()


@pytest.mark.parametrize(
    ("attempt", "repeatable", "previous_run", "given_up"),
    [
        (1, True, PreviousRun.OVER, None),
        (1, False, PreviousRun.OVER, Reason.TASK_FAILED),
        (SETTINGS.max_attempts, True, PreviousRun.OVER, Reason.TASK_FAILED),
        (1, True, PreviousRun.UNKNOWN, Reason.TARGET_LOST),
        (1, False, PreviousRun.UNKNOWN, Reason.TARGET_LOST),
        (1, False, PreviousRun.NEVER_BEGUN, None),
        (SETTINGS.max_attempts + 1, False, PreviousRun.NEVER_BEGUN, None),
        (SETTINGS.max_refused, True, PreviousRun.NEVER_BEGUN, Reason.NO_TARGET),
    ],
)
def test_decisions(
    attempt: int, repeatable: bool, previous_run: PreviousRun, given_up: Reason | None
) -> None:
    budget = RetryBudget(settings=SETTINGS)
    decision = budget.decide(
        attempt=attempt, repeatable=repeatable, previous_run=previous_run, now=0.0
    )
    if given_up is None:
        assert isinstance(decision, Retry)
        assert 0.0 < decision.delay_s <= SETTINGS.max_delay_s
    else:
        assert decision == GiveUp(reason=given_up)


def fail(budget: RetryBudget, times: int, now: float = 0.0) -> int:
    decisions = [
        budget.decide(
            attempt=1, repeatable=True, previous_run=PreviousRun.OVER, now=now
        )
        for _ in range(times)
    ]
    return sum(isinstance(decision, Retry) for decision in decisions)


def test_when_everything_fails_retries_end_with_the_budget() -> None:
    """Every target fails at once, and thousands of tasks are due for a retry.

    Without a budget the load would triple at that time. Only the retries saved up
    by earlier successes are allowed.
    """
    budget = RetryBudget(settings=SETTINGS)
    assert fail(budget, 10_000) == SETTINGS.burst
    assert fail(budget, 10_000) == 0


def test_retries_are_a_share_of_successes() -> None:
    budget = RetryBudget(settings=SETTINGS)
    fail(budget, 100)
    retries = 0
    for _ in range(1000):
        budget.succeeded(0.0)
        retries += fail(budget, 1)
    assert retries == pytest.approx(1000 * SETTINGS.share, abs=2)


def test_an_idle_instance_earns_retries_over_time() -> None:
    budget = RetryBudget(settings=SETTINGS)
    fail(budget, 100)
    assert fail(budget, 10, now=4.0) == 4.0 * SETTINGS.trickle_per_s


def test_refused_starts_are_delayed_and_cost_no_budget() -> None:
    budget = RetryBudget(settings=SETTINGS)
    delays = []
    for attempt in range(1, 12):
        decision = budget.decide(
            attempt=attempt,
            repeatable=False,
            previous_run=PreviousRun.NEVER_BEGUN,
            now=0.0,
        )
        assert isinstance(decision, Retry)
        delays.append(decision.delay_s)
    assert delays[0] <= SETTINGS.first_delay_s
    assert delays[-1] >= SETTINGS.max_delay_s / 2
    assert budget.tokens == SETTINGS.burst
