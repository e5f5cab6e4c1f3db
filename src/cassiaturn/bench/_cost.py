"""Nanoseconds for each decision, and how they grow."""

import timeit
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from itertools import count, cycle
from statistics import linear_regression

from cassiaturn.bench._traffic import TENANTS
from cassiaturn.entities import RequestClass, Resources, TaskKey
from cassiaturn.policy import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Admit,
    FairQueue,
    HealthSettings,
    LoadView,
    OrderSettings,
    PeerRow,
    Placement,
    PlacementSettings,
    QueuedTask,
    Refuse,
    TargetHealth,
    TargetRow,
    choose_target,
)

REPEATS = 5
"""The least of these is reported: the others were disturbed."""

CALLS = 2_000
TASKS_PER_JOB = 10
SLOTS = 8
CALLERS_PER_TENANT = 8
TASK_RESOURCES = Resources(cpu_millis=1000, memory_mib=512)
WORKER_CAPACITY = Resources(cpu_millis=16_000, memory_mib=64 * 1024)
CONNECTIONS = 64

TARGET_SIZES = (24, 60, 200, 700, 1_400)
PEER_SIZES = (7, 30, 100)
TENANT_SIZES = (22, 220, 2_200)
QUEUE_SIZES = (1_000, 10_000, 100_000, 1_000_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """What one decision costs at one size."""

    decision: str
    """What is decided."""

    unit: str
    """What the size counts."""

    size: int
    """How many there are."""

    nanoseconds: float
    """Time for one decision."""

    def line(self) -> str:
        """Return it as one line of key=value pairs."""
        return (
            f"event=bench_cost decision={self.decision} {self.unit}={self.size}"
            f" ns={self.nanoseconds:.0f}"
        )


def costs() -> Iterator[Sequence[Cost]]:
    """Measure every decision at every size; one sequence a decision and unit."""
    for decision, unit, sizes, measure in _MEASURES:
        yield [
            Cost(decision=decision, unit=unit, size=size, nanoseconds=measure(size))
            for size in sizes
        ]


def slope_line(measured: Sequence[Cost]) -> str:
    """Return how a decision's cost grows, as one line of key=value pairs.

    :param measured: the costs of one decision at two sizes or more.
    """
    fit = linear_regression(
        [cost.size for cost in measured], [cost.nanoseconds for cost in measured]
    )
    first, last = measured[0], measured[-1]
    growth = last.nanoseconds / first.nanoseconds
    return (
        f"event=bench_cost_slope decision={first.decision} unit={first.unit}"
        f" ns_per_unit={fit.slope:.4f} size_ratio={last.size / first.size:.0f}"
        f" cost_ratio={growth:.2f}"
    )


def _time(call: Callable[[], object], calls: int = CALLS) -> float:
    return min(timeit.repeat(call, number=calls, repeat=REPEATS)) / calls * 1e9


def _task(number: int, *, tenants: int = TENANTS) -> QueuedTask:
    job, index = divmod(number, TASKS_PER_JOB)
    tenant = f"tenant-{job % tenants}"
    request_class = list(RequestClass)[job % len(RequestClass)]
    return QueuedTask(
        key=TaskKey(f"job-{job}", index),
        tenant=tenant,
        caller=f"{tenant}/{job % CALLERS_PER_TENANT}",
        request_class=request_class,
        method=f"bench.v1.Bench/{request_class.name}",
        resources=TASK_RESOURCES,
        enqueued_at=0.0,
        start_by=1e6,
        job_remaining=TASKS_PER_JOB,
        repeatable=True,
        expected_run_s=0.3,
    )


def _queue(queued: int, *, tenants: int = TENANTS) -> FairQueue:
    queue = FairQueue(settings=OrderSettings(), weights_by_tenant={})
    for number in range(queued):
        queue.push(_task(number, tenants=tenants))
    return queue


def _target(number: int, in_use: int) -> TargetRow:
    return TargetRow(
        target_id=f"target-{number}",
        failure_domain="domain",
        worker=f"worker-{number}",
        slots=SLOTS,
        in_use=in_use,
        connections=CONNECTIONS,
        capacity=WORKER_CAPACITY,
    )


def _choose_target(targets: int) -> float:
    rows = [_target(number, 1 + number % (SLOTS - 1)) for number in range(targets)]
    task = _task(0)
    return _time(lambda: choose_target(task, rows))


def _choose_peer(peers: int) -> float:
    rows = [
        PeerRow(
            instance_id=f"instance-{number}",
            incarnation="1",
            failure_domain="domain" if number % 4 == 0 else "other",
            free_slots=number % SLOTS,
            queued=0,
            expected_wait_s=0.0,
            reported_at=0.0,
            ready=True,
            slots=3 * SLOTS,
        )
        for number in range(peers)
    ]
    placement = Placement(settings=PlacementSettings(), failure_domain="domain")
    task = _task(0)
    return _time(lambda: placement.choose_peer(task, 1.0, rows, 0.1))


def _queue_turn(queue: FairQueue, first: int, tenants: int) -> float:
    tasks = iter([_task(first + n, tenants=tenants) for n in range(CALLS * REPEATS)])

    def turn() -> None:
        queue.push(next(tasks))
        task = queue.pop(now=1.0)
        if task is None:
            raise AssertionError("a queue that was filled is empty")
        queue.charge(
            tenant=task.tenant,
            caller=task.caller,
            submission_id=task.key.submission_id,
            run_s=0.2,
        )

    return _time(turn)


def _queue_by_length(queued: int) -> float:
    return _queue_turn(_queue(queued), queued, TENANTS)


def _queue_by_tenants(tenants: int) -> float:
    queued = tenants * TASKS_PER_JOB * len(RequestClass)
    return _queue_turn(_queue(queued, tenants=tenants), queued, tenants)


def _cancel_job(queued: int) -> float:
    queue = _queue(queued)
    jobs = queued // TASKS_PER_JOB
    numbers = cycle(range(jobs))
    calls = min(CALLS, jobs // REPEATS)
    return _time(lambda: queue.cancel(f"job-{next(numbers)}"), calls) / TASKS_PER_JOB


def _load(queued: int, tenant_queued: int) -> LoadView:
    return LoadView(
        now=0.0,
        slots=3 * SLOTS,
        busy=3 * SLOTS,
        queued_by_class=dict.fromkeys(RequestClass, queued // len(RequestClass)),
        tenant_running=2,
        tenant_queued=tenant_queued,
        tenant_quota_slots=4.0,
        mean_run_s_by_class=dict.fromkeys(RequestClass, 0.3),
        peers_free_slots=3,
    )


def _decide(queued: int, tenant_queued: int, outcome: type[Admit | Refuse]) -> float:
    admission = Admission(settings=AdmissionSettings())
    load = _load(queued, tenant_queued)
    numbers = count()

    def decide() -> None:
        request = AdmissionRequest(
            submission_id=f"job-{next(numbers)}",
            tenant="tenant-0",
            caller="caller-0",
            request_class=RequestClass.NORMAL,
            method="bench.v1.Bench/NORMAL",
            tasks=1,
            expected_run_s=0.3,
            deadline_in_s=5.0,
        )
        if not isinstance(admission.decide(request, load), outcome):
            raise AssertionError(f"expected {outcome.__name__}")

    return _time(decide)


def _admit(queued: int) -> float:
    # The tenant itself has next to nothing queued, so fair order serves it soon.
    return _decide(queued, 1, Admit)


def _refuse(queued: int) -> float:
    return _decide(queued, queued, Refuse)


def _health(targets: int) -> float:
    health = TargetHealth(settings=HealthSettings())
    for number in range(targets):
        health.add(f"target-{number}", SLOTS)
    numbers = count()

    def turn() -> None:
        number = next(numbers)
        target_id = f"target-{number % targets}"
        key = TaskKey(f"job-{number}", 0)
        health.started(target_id, key, "bench.v1.Bench/NORMAL", 0.0)
        health.finished(target_id, key, "bench.v1.Bench/NORMAL", 0.3, True, 0.3)

    return _time(turn)


def _health_tick(targets: int) -> float:
    health = TargetHealth(settings=HealthSettings())
    for number in range(targets):
        health.add(f"target-{number}", SLOTS)
        for index in range(SLOTS):
            key = TaskKey(f"job-{number}", index)
            health.started(f"target-{number}", key, "bench.v1.Bench/NORMAL", 0.0)
            if index < SLOTS // 2:
                health.finished(
                    f"target-{number}", key, "bench.v1.Bench/NORMAL", 0.3, True, 0.3
                )
    ticks = count(1)
    return _time(lambda: health.tick(float(next(ticks)) * 0.2), calls=5)


_MEASURES: Sequence[tuple[str, str, Sequence[int], Callable[[int], float]]] = (
    ("choose_target", "targets", TARGET_SIZES, _choose_target),
    ("choose_peer", "peers", PEER_SIZES, _choose_peer),
    ("push_pop_charge", "queued", QUEUE_SIZES, _queue_by_length),
    ("push_pop_charge", "tenants", TENANT_SIZES, _queue_by_tenants),
    ("cancel_a_task", "queued", QUEUE_SIZES, _cancel_job),
    ("admit", "queued", QUEUE_SIZES, _admit),
    ("refuse", "queued", QUEUE_SIZES, _refuse),
    ("health_of_a_task", "targets", TARGET_SIZES, _health),
    ("health_tick", "targets", TARGET_SIZES, _health_tick),
)
