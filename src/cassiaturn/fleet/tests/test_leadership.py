"""Tests the election rules for each combination of what a member may know."""

from collections.abc import Mapping

import pytest

from cassiaturn.fleet._leadership import (
    ElectionView,
    Leadership,
    Look,
    Loss,
    RowState,
    Step,
    latest,
    next_leadership,
    next_step,
)


def _leadership(token: int, member_id: str = "m") -> Leadership:
    return Leadership(token=token, term=1, member_id=member_id, address="10.0.0.1:1")


OLD = _leadership(10, "old")
NEW = _leadership(20, "new")

MISSES = Look(hears_leader=False, highest=OLD)
HEARS = Look(hears_leader=True, highest=OLD)


def _election_view(**changes: object) -> ElectionView:
    values: dict[str, object] = {
        "loss": Loss.SILENT,
        "known": OLD,
        "row": RowState.YOUNG,
        "row_leadership": OLD,
        "looks": (),
        "members_asked": 2,
        "members_before": 0,
    }
    values.update(changes)
    return ElectionView(**values)  # type: ignore[arg-type]


CASES: Mapping[str, tuple[Mapping[str, object], Step]] = {
    "a first start: nobody has ever led": (
        {"loss": Loss.NEVER_KNOWN, "known": None, "row": RowState.ABSENT}
        | {"row_leadership": None},
        Step.CLAIM,
    ),
    "a restart: the row names a leader": (
        {"loss": Loss.NEVER_KNOWN, "known": None},
        Step.FOLLOW,
    ),
    "a restart without the table service: others may know": (
        {"loss": Loss.NEVER_KNOWN, "known": None, "row": RowState.UNREADABLE}
        | {"row_leadership": None, "looks": (HEARS,)},
        Step.FOLLOW,
    ),
    "a restart of everybody without the table service": (
        {"loss": Loss.NEVER_KNOWN, "known": None, "row": RowState.UNREADABLE}
        | {"row_leadership": None},
        Step.WAIT,
    ),
    "the leader's process ended": ({"loss": Loss.GONE}, Step.CLAIM),
    "it ended, and another one claimed already": (
        {"loss": Loss.GONE, "row_leadership": NEW},
        Step.FOLLOW,
    ),
    "it ended, and a member has heard of the next": (
        {"loss": Loss.GONE, "looks": (Look(hears_leader=True, highest=NEW),)},
        Step.FOLLOW,
    ),
    "the connection broke, but others hear it": (
        {"loss": Loss.GONE, "looks": (HEARS, MISSES)},
        Step.WAIT,
    ),
    "silent for everybody": ({"looks": (MISSES, MISSES)}, Step.CLAIM_ALONE),
    "silent for everybody, another one comes first": (
        {"looks": (MISSES, MISSES), "members_before": 1},
        Step.WAIT,
    ),
    # Silent for all members; the member that precedes this one has not claimed.
    "and that one has had its time": (
        {"looks": (MISSES, MISSES), "members_before": 1, "tries": 1},
        Step.CLAIM,
    ),
    # As above, but two members precede this one.
    "and two come first": (
        {"looks": (MISSES, MISSES), "members_before": 2, "tries": 1},
        Step.WAIT,
    ),
    "silent for everybody, and so is a member with a wider link": (
        {"looks": (MISSES,), "fitter_is_silent": True},
        Step.WAIT,
    ),
    # As above, in the second round of questions.
    "and that one is silent still": (
        {"looks": (MISSES,), "fitter_is_silent": True, "tries": 1},
        Step.CLAIM_ALONE,
    ),
    "the last member that is left, the wide ones lost power": (
        {"row": RowState.STALE, "fitter_is_silent": True},
        Step.WAIT,
    ),
    "silent for everybody, no target is known here": (
        {"looks": (MISSES,), "knows_targets": False},
        Step.CLAIM,
    ),
    # As above, without the table service either.
    "nor does the table service tell any": (
        {"looks": (MISSES,), "knows_targets": False, "row": RowState.UNREADABLE},
        Step.WAIT,
    ),
    "silent for this member only": ({"looks": (MISSES, HEARS)}, Step.WAIT),
    "only the connection to it fell silent": (
        {"looks": (MISSES, HEARS), "leader_answers": True},
        Step.FOLLOW_AGAIN,
    ),
    "it answers again, but another one has claimed": (
        {"looks": (Look(hears_leader=True, highest=NEW),), "leader_answers": True},
        Step.FOLLOW,
    ),
    "it answers again, without the table service": (
        {"row": RowState.UNREADABLE, "leader_answers": True},
        Step.FOLLOW_AGAIN,
    ),
    "this member is cut off, the row is written": (
        {"row": RowState.RENEWED},
        Step.WAIT,
    ),
    "this member is cut off, nothing known yet": ({}, Step.WAIT),
    "the last member that is left": ({"row": RowState.STALE}, Step.CLAIM),
    # An island is one side of a network partition.
    "an island with the table service": (
        {"row": RowState.RENEWED, "looks": (MISSES,)},
        Step.CLAIM_ALONE,
    ),
    "an island without it, first in order": (
        {"row": RowState.UNREADABLE, "looks": (MISSES,)},
        Step.CLAIM_ALONE,
    ),
    "an island without it, another one comes first": (
        {"row": RowState.UNREADABLE, "looks": (MISSES,), "members_before": 1},
        Step.WAIT,
    ),
    "an island without it, the first has had its time": (
        {"row": RowState.UNREADABLE, "looks": (MISSES,), "members_before": 1}
        | {"tries": 1},
        Step.CLAIM_ALONE,
    ),
    "alone without the table service": ({"row": RowState.UNREADABLE}, Step.WAIT),
    "the leader ended while the table service is away": (
        {"loss": Loss.GONE, "row": RowState.UNREADABLE},
        Step.CLAIM_ALONE,
    ),
    "asked to lead": ({"loss": Loss.ASKED, "looks": (HEARS,)}, Step.CLAIM),
    "asked to lead without the table service": (
        {"loss": Loss.ASKED, "row": RowState.UNREADABLE, "looks": (HEARS,)},
        Step.CLAIM_ALONE,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_next_step(case: str) -> None:
    changes, step = CASES[case]
    assert next_step(_election_view(**changes)) is step


def test_tokens_increase_with_each_term() -> None:
    first = next_leadership(None, member_id="a", address="x:1", reach=0)
    second = next_leadership(first, member_id="b", address="y:1", reach=0)
    assert 0 < first.token < second.token
    assert (first.term, second.term) == (0, 1)
    assert second.token < 1 << 53  # exact as a double, hence in any JSON parser


def test_two_claims_of_one_term_have_different_tokens() -> None:
    tokens = {
        next_leadership(OLD, member_id="a", address="x:1", reach=0).token
        for _ in range(50)
    }
    assert len(tokens) > 45


def test_latest_leadership_wins_whatever_its_source() -> None:
    looks = (Look(hears_leader=False, highest=NEW), MISSES)
    assert latest(_election_view(looks=looks)) == NEW
    assert latest(_election_view(row_leadership=NEW)) == NEW


@pytest.mark.parametrize("value", ["", "{}", "[1]", '{"token":"x"}', "null", "\0"])
def test_malformed_row_yields_no_leadership(value: str) -> None:
    assert Leadership.from_value(value) is None


def test_row_value_round_trips() -> None:
    assert Leadership.from_value(OLD.to_value(3)) == OLD


def test_larger_side_of_a_partition_leads_after_it_heals() -> None:
    """Both sides claim the same term, and targets obey the higher token after it heals.

    If that were the smaller side's, the targets would leave the leader of most callers.
    """
    for _ in range(50):
        small = next_leadership(OLD, member_id="a", address="x:1", reach=2)
        large = next_leadership(OLD, member_id="b", address="y:1", reach=5)
        assert small.term == large.term
        assert small.token < large.token


def test_claim_outranks_an_earlier_term_of_any_reach() -> None:
    wide = next_leadership(None, member_id="a", address="x:1", reach=9_999)
    alone = next_leadership(wide, member_id="b", address="y:1", reach=0)
    assert wide.token < alone.token
