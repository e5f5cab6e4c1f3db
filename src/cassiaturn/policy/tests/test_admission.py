import pytest

from cassiaturn.entities import Reason, RequestClass
from cassiaturn.policy import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    LoadView,
    Refuse,
)

NORMAL = RequestClass.NORMAL


def make_request(**changes: object) -> AdmissionRequest:
    fields: dict[str, object] = {
        "submission_id": "s",
        "tenant": "accra",
        "caller": "counter",
        "request_class": NORMAL,
        "method": "price",
        "tasks": 8,
        "expected_run_s": 0.3,
        "deadline_in_s": 2.0,
    }
    return AdmissionRequest(**(fields | changes))  # type: ignore[arg-type]


def make_load(queued: int = 0, **changes: object) -> LoadView:
    fields: dict[str, object] = {
        "now": 0.0,
        "slots": 24,
        "busy": 24 if queued else 0,
        "queued_by_class": {NORMAL: queued},
        "tenant_running": 0,
        "tenant_queued": queued,
        "tenant_quota_slots": 0.0,
        "mean_run_s_by_class": {NORMAL: 0.3},
    }
    return LoadView(**(fields | changes))  # type: ignore[arg-type]


def decide(
    request: AdmissionRequest, load: LoadView, admission: Admission | None = None
) -> Admit | Refuse:
    admission = admission or Admission(settings=AdmissionSettings())
    return admission.decide(request, load)


@pytest.mark.parametrize(
    ("request_changes", "load", "expected"),
    [
        ({}, make_load(), None),
        ({"tasks": 750}, make_load(), Reason.DEADLINE),
        ({"tasks": 750, "deadline_in_s": 20.0}, make_load(), None),
        ({"deadline_in_s": 0.2}, make_load(), Reason.DEADLINE),
        ({}, make_load(100), None),
        ({}, make_load(160), Reason.OVERLOAD),
        ({}, make_load(160, peers_free_slots=200), None),
        ({"deadline_in_s": 900.0}, make_load(900), Reason.OVERLOAD),
        ({}, make_load(0, slots=0), Reason.OVERLOAD),
        # Another tenant's backlog does not delay a tenant without one.
        ({}, make_load(160, tenant_queued=0, tenant_quota_slots=8.0), None),
        (
            {"deadline_in_s": 60.0},
            make_load(1600, tenant_quota_slots=8.0),
            Reason.QUOTA,
        ),
        # Lower classes do not delay a higher one.
        ({"request_class": RequestClass.URGENT}, make_load(160), None),
    ],
)
def test_decisions(
    request_changes: dict[str, object], load: LoadView, expected: Reason | None
) -> None:
    decision = decide(make_request(**request_changes), load)
    if expected is None:
        assert isinstance(decision, Admit)
    else:
        assert isinstance(decision, Refuse)
        assert decision.reason is expected
        assert decision.detail


def test_retry_times_are_spread_and_outlast_the_backlog() -> None:
    """A thousand callers are refused at the same time.

    With the same retry-after time they would all return at once and be refused
    again. Each submission gets its own time, which repeats if it is refused again.
    """
    load = make_load(400)
    times = []
    for index in range(1000):
        decision = decide(make_request(submission_id=f"s{index}"), load)
        assert isinstance(decision, Refuse)
        times.append(decision.retry_after_s)
    excess_s = 400 * 0.3 / 24 + 0.3 - 0.9 * 2.0
    assert min(times) >= excess_s
    assert max(times) <= 2 * excess_s
    tenths = [int((time - excess_s) / excess_s * 10) for time in times]
    assert min(tenths.count(tenth) for tenth in range(10)) > 60


def test_a_job_that_can_never_fit_gets_no_retry_time() -> None:
    decision = decide(make_request(tasks=750), make_load())
    assert isinstance(decision, Refuse)
    assert decision.retry_after_s == 0.0


def observe_used_slots(admission: Admission, slots: float, seconds: int = 30) -> None:
    for second in range(seconds):
        admission.observe_run("price", NORMAL, slots)
        admission.decide(make_request(), make_load(now=float(second)))


@pytest.mark.parametrize(
    ("used_slots", "tenant_running", "tasks", "expected"),
    [
        # A small job finishes in time whatever else runs.
        (23.0, 8, 1, None),
        (23.0, 8, 20, Reason.QUOTA),
        # Small jobs leave enough slots for it.
        (12.0, 8, 20, None),
        # The tenant is within its quota.
        (23.0, 1, 20, None),
    ],
)
def test_large_jobs_over_quota_get_slots_that_small_jobs_leave(
    used_slots: float, tenant_running: int, tasks: int, expected: Reason | None
) -> None:
    """Small jobs fill the slots, and a tenant over its quota sends a large job.

    Estimated on all slots, it would be admitted, overtaken by every small job that
    arrives later, and dropped half done at its deadline.
    """
    admission = Admission(settings=AdmissionSettings())
    observe_used_slots(admission, used_slots)
    load = make_load(
        24,
        now=29.5,
        tenant_queued=0,
        tenant_running=tenant_running,
        tenant_quota_slots=4.0,
        mean_run_s_by_class={NORMAL: 0.3},
    )
    decision = decide(make_request(tasks=tasks, deadline_in_s=1.5), load, admission)
    reason = decision.reason if isinstance(decision, Refuse) else None
    assert reason is expected
    if isinstance(decision, Refuse):
        assert decision.retry_after_s > 0.0


def test_large_batch_jobs_over_quota_are_not_limited_to_unused_slots() -> None:
    """Guards against refusing batch jobs for the load of batch work itself."""
    admission = Admission(settings=AdmissionSettings())
    batch = RequestClass.BATCH
    for second in range(30):
        admission.observe_run("train", batch, 24.0)
        admission.decide(
            make_request(request_class=batch), make_load(now=float(second))
        )
    load = make_load(
        now=29.5,
        queued_by_class={batch: 100},
        tenant_running=20,
        tenant_queued=100,
        tenant_quota_slots=4.0,
        mean_run_s_by_class={batch: 0.3},
    )
    request = make_request(request_class=batch, tasks=300, deadline_in_s=20.0)
    assert isinstance(decide(request, load, admission), Admit)


def test_batch_wait_depends_on_slots_that_higher_classes_leave() -> None:
    """Guards against batch jobs that are admitted and dropped at the deadline."""
    admission = Admission(settings=AdmissionSettings())
    observe_used_slots(admission, 20.0)
    batch = RequestClass.BATCH
    load = make_load(
        24, now=29.5, queued_by_class={batch: 100}, mean_run_s_by_class={batch: 0.3}
    )
    request = make_request(request_class=batch, deadline_in_s=60.0, tasks=1)
    decision = decide(request, load, admission)
    assert isinstance(decision, Admit)
    assert decision.expected_wait_s == pytest.approx(100 * 0.3 / 4, rel=0.1)


def test_refusal_ends_at_a_lower_load_than_it_starts() -> None:
    """Guards against instances that alternate between overload and refusal."""
    admission = Admission(settings=AdmissionSettings())
    request = make_request()
    outcomes = [
        isinstance(decide(request, make_load(queued), admission), Admit)
        for queued in (100, 125, 115, 90, 115)
    ]
    assert outcomes == [True, False, False, True, True]


@pytest.mark.parametrize(("declared", "actual"), [(3.0, 0.3), (0.03, 0.3)])
def test_learned_run_times_outweigh_a_wrong_declaration(
    declared: float, actual: float
) -> None:
    admission = Admission(settings=AdmissionSettings())
    assert admission.expected_run_s("price", declared) == declared
    for _ in range(200):
        admission.observe_run("price", NORMAL, actual)
    assert admission.expected_run_s("price", declared) == pytest.approx(actual, rel=0.3)
    assert admission.mean_run_s_by_class()[NORMAL] == pytest.approx(actual)
