import statistics

import pytest

from cassiaturn.entities import TaskKey
from cassiaturn.standins import RunTime, Shape, reply_to
from cassiaturn_examples.kwabena import props_pb2 as props

KEYS = [TaskKey(f"s{number}", number % 3) for number in range(2000)]


@pytest.mark.parametrize(
    ("run_time", "median_ms", "longest_ms"),
    [
        (RunTime(median_ms=100), 100, 100),
        (RunTime(shape=Shape.UNIFORM, median_ms=100, spread=0.5), 100, 150),
        (RunTime(shape=Shape.LOGNORMAL, median_ms=100, spread=0.5), 100, 1000),
        (RunTime(median_ms=100, long_share=0.1, long_factor=10), 100, 1000),
        (RunTime(median_ms=100, longest_ms=60), 60, 60),
        (RunTime(shape=Shape.LOGNORMAL, median_ms=0, spread=1), 0, 0),
    ],
)
def test_draws_follow_the_shape(
    run_time: RunTime, median_ms: float, longest_ms: float
) -> None:
    drawn = [run_time.draw_ms(key) for key in KEYS]
    assert statistics.median(drawn) == pytest.approx(median_ms, rel=0.1)
    assert max(drawn) <= longest_ms
    assert drawn == [run_time.draw_ms(key) for key in KEYS]


def test_seed_changes_the_draw() -> None:
    run_time = RunTime(shape=Shape.UNIFORM, spread=1.0)
    assert run_time.draw_ms(KEYS[0], seed=1) != run_time.draw_ms(KEYS[0], seed=2)


def test_reply_belongs_to_one_task_and_payload() -> None:
    method = "kwabena.v1.Props/CheckAvailability"
    payload = props.AvailabilityRequest(prop_id="deck").SerializeToString()
    reply = reply_to(method=method, payload=payload, key=KEYS[0])
    assert props.AvailabilityReply.FromString(reply).prop_id == "deck"
    others = {
        reply_to(method=method, payload=payload, key=key) for key in KEYS[1:10]
    } | {reply_to(method="any.v1.Other/Method", payload=payload, key=KEYS[0])}
    assert reply not in others


def test_payload_that_is_no_request_still_gets_its_digest() -> None:
    reply = reply_to(
        method="kwabena.v1.Props/OrderDeck", payload=b"\xff", key=TaskKey("s", 0)
    )
    assert len(reply) == 32
