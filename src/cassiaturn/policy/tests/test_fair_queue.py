from cassiaturn.entities import RequestClass, Resources, TaskKey
from cassiaturn.policy import FairQueue, OrderSettings, QueuedTask


def test_pop_order_smoke() -> None:
    queue = FairQueue(settings=OrderSettings(), weights_by_tenant={})
    for i in range(3):
        queue.push(
            QueuedTask(
                key=TaskKey(f"s{i}", 0),
                tenant="t",
                caller="c",
                request_class=RequestClass.NORMAL,
                method="m",
                resources=Resources(),
                enqueued_at=0.0,
                start_by=10.0,
                job_remaining=1,
                repeatable=True,
                expected_run_s=0.3,
            )
        )
    got = [queue.pop(now=0.0) for _ in range(4)]
    assert [t and t.key.submission_id for t in got] == ["s0", "s1", "s2", None]
