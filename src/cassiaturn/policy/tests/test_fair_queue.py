from collections import Counter
from typing import Any

import pytest

from cassiaturn.entities import RequestClass
from cassiaturn.policy import FairQueue, OrderSettings, QueuedTask
from cassiaturn.policy.tests.builders import make_task


def make_queue(**weights: float) -> FairQueue:
    return FairQueue(settings=OrderSettings(), weights_by_tenant=weights)


def charge(queue: FairQueue, task: QueuedTask, run_s: float) -> None:
    queue.charge(
        tenant=task.tenant,
        caller=task.caller,
        submission_id=task.key.submission_id,
        run_s=run_s,
    )


def pop_all(queue: FairQueue, count: int) -> list[QueuedTask]:
    popped = [queue.pop(now=0.0) for _ in range(count)]
    return [task for task in popped if task is not None]


def push_jobs(queue: FairQueue, prefix: str, count: int, **changes: Any) -> None:
    for index in range(count):
        queue.push(make_task(f"{prefix}{index}", **changes))


def test_tasks_of_equal_jobs_leave_in_order_of_arrival() -> None:
    queue = make_queue()
    push_jobs(queue, "s", 3)
    order = [task.key.submission_id for task in pop_all(queue, 4)]
    assert order == ["s0", "s1", "s2"]


@pytest.mark.parametrize(
    ("weights", "expected"),
    [({}, 30), ({"brest": 2.0}, 40), ({"brest": 0.5}, 20)],
)
def test_tenants_are_served_by_weight(weights: dict[str, float], expected: int) -> None:
    queue = make_queue(**weights)
    push_jobs(queue, "a", 600, tenant="accra")
    push_jobs(queue, "b", 60, tenant="brest")
    served = Counter(task.tenant for task in pop_all(queue, 60))
    assert abs(served["brest"] - expected) <= 1


def test_tenants_are_charged_observed_run_times() -> None:
    """A tenant declares a tenth of the run time of its tasks.

    It gets ten times its share until the observed run times are charged. After
    that, the other tenant is served until it has caught up.
    """
    queue = make_queue()
    push_jobs(queue, "a", 100, tenant="accra", expected_run_s=0.1)
    push_jobs(queue, "b", 100, tenant="brest", expected_run_s=1.0)
    for task in pop_all(queue, 11):
        charge(queue, task, 1.0)
    served = Counter(task.tenant for task in pop_all(queue, 9))
    assert served["brest"] >= 8


def test_a_hot_caller_does_not_starve_others_of_its_tenant() -> None:
    """Guards against a caller with 500 queued jobs that delays all other callers."""
    queue = make_queue()
    push_jobs(queue, "hot", 500, caller="hot")
    push_jobs(queue, "calm", 5, caller="calm")
    served = Counter(task.caller for task in pop_all(queue, 12))
    assert served["calm"] == 5


def test_short_jobs_overtake_a_long_one() -> None:
    """Guards against a job of many tasks that delays every short job behind it."""
    queue = make_queue()
    for index in range(100):
        queue.push(make_task("long", index, job_remaining=100))
    for task in pop_all(queue, 10):
        charge(queue, task, 0.3)
    push_jobs(queue, "short", 3)
    first = [task.key.submission_id for task in pop_all(queue, 3)]
    assert first == ["short0", "short1", "short2"]


def test_last_tasks_of_a_job_go_before_the_middle_of_another() -> None:
    queue = make_queue()
    for name in ("old", "ending"):
        for index in range(40):
            queue.push(make_task(name, index, job_remaining=40))
    for task in pop_all(queue, 40):
        charge(queue, task, 0.3)
    for index in (50, 51):
        queue.push(make_task("ending", index, attempt=1, job_remaining=2))
    assert {task.key.submission_id for task in pop_all(queue, 2)} == {"ending"}


def test_urgent_goes_first_and_does_not_starve_the_rest() -> None:
    queue = make_queue()
    for request_class in RequestClass:
        push_jobs(queue, request_class.name, 1000, request_class=request_class)
    popped = pop_all(queue, 400)
    served = Counter(task.request_class for task in popped)
    assert popped[0].request_class is RequestClass.URGENT
    assert served[RequestClass.URGENT] >= 0.75 * len(popped)
    assert served[RequestClass.NORMAL] >= 0.10 * len(popped)
    assert served[RequestClass.BATCH] >= 0.03 * len(popped)


def test_a_method_without_a_free_target_does_not_block_others() -> None:
    """Guards against head-of-line blocking by a method that no free target fits."""
    queue = make_queue()
    push_jobs(queue, "a", 100, method="train", caller="one")
    push_jobs(queue, "b", 1, method="price", caller="two")
    asked: list[str] = []

    def fits(task: QueuedTask) -> bool:
        asked.append(task.method)
        return task.method == "price"

    task = queue.pop(now=0.0, fits=fits)
    assert task is not None
    assert task.method == "price"
    assert asked.count("train") == 1
    assert asked[-1] == "price"
    assert queue.pop(now=0.0, fits=fits) is None
    assert len(queue) == 100


def test_a_blocked_tenant_is_skipped_and_keeps_its_position() -> None:
    queue = make_queue()
    push_jobs(queue, "a", 2, tenant="accra")
    push_jobs(queue, "b", 2, tenant="brest")
    task = queue.pop(now=0.0, blocked_tenants={"accra"})
    assert task is not None
    assert task.tenant == "brest"
    assert [task.tenant for task in pop_all(queue, 3)] == ["accra", "accra", "brest"]


def test_peek_returns_the_task_that_pop_removes() -> None:
    queue = make_queue()
    push_jobs(queue, "s", 5, tenant="accra")
    push_jobs(queue, "t", 5, tenant="brest")
    for _ in range(10):
        seen = queue.peek(now=0.0)
        assert queue.pop(now=0.0) is seen


def test_cancel_drops_a_whole_job() -> None:
    queue = make_queue()
    for index in range(750):
        queue.push(make_task("big", index))
    queue.push(make_task("small"))
    assert queue.cancel("big") == 750
    assert queue.cancel("big") == 0
    assert [task.key.submission_id for task in pop_all(queue, 2)] == ["small"]


def test_expired_tasks_are_reported_once_and_never_started() -> None:
    queue = make_queue()
    queue.push(make_task("late", start_by=1.0))
    queue.push(make_task("good", start_by=9.0))
    task = queue.pop(now=2.0)
    assert task is not None
    assert task.key.submission_id == "good"
    assert [task.key.submission_id for task in queue.expire(2.0)] == ["late"]
    assert queue.expire(2.0) == []


def test_idle_callers_and_finished_jobs_are_dropped() -> None:
    """Ten thousand callers each send one task and disconnect.

    A record kept for each caller would fill a host of 32 MB within minutes.
    """
    queue = make_queue()
    for index in range(10_000):
        queue.push(make_task(f"s{index}", caller=f"c{index}"))
        task = queue.pop(now=0.0)
        assert task is not None
        charge(queue, task, 0.3)
    class_queue = queue._class_queues.queues_by_class[RequestClass.NORMAL]
    assert len(class_queue.tenants_by_name["accra"].callers_by_name) < 10
    assert not queue._jobs_by_id


def test_a_class_with_credit_may_use_reserved_slots() -> None:
    """Urgent work fills all slots except those that lower classes may not use.

    If the reservation still held, the minimum share of the lower classes would
    have no effect and batch work would never start.
    """
    queue = make_queue()
    for request_class in (RequestClass.URGENT, RequestClass.BATCH):
        push_jobs(queue, request_class.name, 200, request_class=request_class)

    def fits(task: QueuedTask) -> bool:
        return task.request_class is RequestClass.URGENT or task.may_use_spare

    popped = [queue.pop(now=0.0, fits=fits) for _ in range(100)]
    served = Counter(task.request_class for task in popped if task is not None)
    assert 3 <= served[RequestClass.BATCH] <= 7
