"""The real tables through random orders of the model's events."""

from collections import Counter
from collections.abc import Iterable

import pytest

from cassiaturn.entities import Outcome
from cassiaturn.model import MUTATIONS_BY_NAME, Finding, Rules, Schedule

STEPS = 600


def findings(seeds: Iterable[int], rules: Rules) -> Iterable[Finding]:
    return (Schedule(seed=seed, rules=rules).run(STEPS) for seed in seeds)


def test_the_tables_keep_every_promise() -> None:
    """
    Three instances, three targets. Callers resubmit anywhere; processes die, pause
    for up to 12 s and wake, targets are cut off or die, store answers are lost or
    take effect late, messages are lost. Each caller hears nothing but the truth.
    """
    answers: Counter[Outcome] = Counter()
    begins = 0
    for finding in findings(range(120), Rules()):
        assert finding.broken is None, finding.events[-40:]
        answers.update(finding.answers_by_outcome)
        begins += finding.begins

    assert begins > 1000
    for outcome in (
        Outcome.COMPLETE,
        Outcome.FAILED,
        Outcome.NOT_RUN,
        Outcome.UNKNOWN,
    ):
        assert answers[outcome] > 0, outcome


# Seeds among which the missing safeguard shows; expiry is tested at the table.
SEEDS = {
    "fence_off": range(0, 60),
    "start_by_off": range(220, 260),
    "claim_token_off": range(0, 20),
    "not_run_binding_off": range(0, 40),
    "takeover_row_off": range(40, 100),
    "unbegun_not_resumed_off": range(0, 60),
}


@pytest.mark.parametrize("mutation", SEEDS)
def test_the_schedule_misses_no_removed_safeguard(mutation: str) -> None:
    found = findings(SEEDS[mutation], MUTATIONS_BY_NAME[mutation])

    assert any(finding.broken is not None for finding in found)


def test_equal_seeds_give_equal_runs() -> None:
    first, second = findings([7, 7], Rules())

    assert first == second
