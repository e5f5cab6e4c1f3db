"""Tests the log line and metrics that show a leader's saturated link or processor."""

import io
import time

from cassiaturn.fleet._leader_load import LOG_PERIOD_S, LeaderLoad
from cassiaturn.observability import FleetMetrics, configure_logging
from cassiaturn.workload import StartCounts


def test_log_line_tells_full_link_from_full_processor() -> None:
    """Targets seem silent because lists fill the leader's link.

    One log line must show that lists were sent, that answers were queued behind them,
    that targets left requests unanswered, and that the event loop was not delayed.
    """
    stream = io.StringIO()
    log = configure_logging(stream=stream)
    load = LeaderLoad(metrics=FleetMetrics(member_name="m", failure_domain="a"))
    load.count_frame("roster", "front-1/5c0e", 20_000, 0.7)
    load.count_frame("outcome", "front-1/5c0e", 40, 0.7)
    load.count_request("start", None)
    load.count_request("start", 0.004)
    load.observe_loop_delay(0.002)
    load._period.began_at = time.monotonic() - LOG_PERIOD_S
    load.log_if_due(followers=1, waiting=31, called_bytes=5_000)
    load.log_if_due(followers=1, waiting=31, called_bytes=5_000)
    log.close()
    (line,) = stream.getvalue().splitlines()
    for pair in (
        "event=leader_load",
        "roster_b=20000",
        "outcome_b=40",
        "calls_b=5000",
        "requests=2",
        "unanswered=1",
        "waiting=31",
        "longest_wait_ms=700",
        "late_ms=2",
    ):
        assert pair in line


def test_log_line_tells_short_waits_from_late_starts() -> None:
    """Guards against refusals whose need for relief no log line can confirm."""
    stream = io.StringIO()
    log = configure_logging(stream=stream)
    load = LeaderLoad(metrics=FleetMetrics(member_name="m", failure_domain="a"))
    load.count_submission(8)
    load.count_submission(2)
    first = StartCounts(starts=8, answers=3, late_answers=1)
    first.note_first_start(0.01, is_late=False)
    second = StartCounts(starts=1)
    second.note_first_start(0.09, is_late=True)
    load.count_starts(first)
    load.count_starts(second)
    load._period.began_at = time.monotonic() - LOG_PERIOD_S
    load.log_if_due(followers=1, waiting=0, called_bytes=0)
    log.close()
    for pair in (
        "requested=10",
        "starts=9",
        "cpu_cores=",
        " jobs=2",
        "late_jobs=1",
        "mean_wait_ms=50",
        "max_wait_ms=90",
        " answers=3",
        "late_answers=1",
    ):
        assert pair in stream.getvalue()


def test_first_log_line_of_a_term_leaves_out_earlier_terms() -> None:
    """A member leads again, long after its first term.

    Counts of the first term must not appear in the first line of the second.
    """
    stream = io.StringIO()
    log = configure_logging(stream=stream)
    load = LeaderLoad(metrics=FleetMetrics(member_name="m", failure_domain="a"))
    load.count_request("start", 0.004)
    load._period.began_at = time.monotonic() - 50.0
    load.begin_term(called_bytes=5_000)
    load.log_if_due(followers=1, waiting=0, called_bytes=5_100)
    load._period.began_at -= LOG_PERIOD_S
    load.log_if_due(followers=1, waiting=0, called_bytes=5_200)
    log.close()
    (line,) = stream.getvalue().splitlines()
    assert "calls_b=200" in line
    assert "requests=0" in line


def test_metrics_are_labelled_by_kind_and_follower() -> None:
    metrics = FleetMetrics(member_name="m", failure_domain="a")
    load = LeaderLoad(metrics=metrics)
    load.count_frame("roster", "front-1/5c0e", 20_000, 0.7)
    load.count_frame("beat", "front-2/77aa", 6, 0.0)
    load.count_request("list", 0.004)
    load.count_request("stop", None)
    load.observe_loop_delay(0.002)
    text = metrics.exposition().decode()
    for line in (
        'cassiaturn_follower_bytes_total{kind="roster"} 20000.0',
        'cassiaturn_bytes_to_total{kind="front-2"} 6.0',
        'cassiaturn_target_requests_total{kind="list"} 1.0',
        'cassiaturn_target_unanswered_total{kind="stop"} 1.0',
        'cassiaturn_target_answer_time_seconds_count{kind="list"} 1.0',
        "cassiaturn_loop_late_seconds_count 1.0",
    ):
        assert line in text
