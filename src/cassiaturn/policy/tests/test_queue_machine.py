from dataclasses import dataclass

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from cassiaturn.entities import RequestClass, Resources
from cassiaturn.policy import (
    FairQueue,
    OrderSettings,
    QueuedTask,
    TargetRow,
    choose_target,
)
from cassiaturn.policy.tests.builders import make_target, make_task

TENANTS = ["accra", "brest", "kumasi"]
RESOURCES_BY_METHOD = {
    "price": Resources(cpu_millis=1000, memory_mib=512),
    "train": Resources(cpu_millis=2000, memory_mib=1024, accelerators=1),
}


@dataclass(frozen=True, kw_only=True)
class Run:
    task: QueuedTask
    target: TargetRow


class Accounting(RuleBasedStateMachine):
    """Random operations on the queue and two targets; the counts must agree."""

    running = Bundle("running")

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue(settings=OrderSettings(), weights_by_tenant={})
        self.targets = [make_target(f"r{index}", slots=2) for index in range(2)]
        self.now = 0.0
        self.number = 0
        self.queued: dict[int, QueuedTask] = {}
        self.started = 0

    @rule(
        job=st.integers(0, 5),
        count=st.integers(1, 4),
        tenant=st.sampled_from(TENANTS),
        caller=st.sampled_from(["x", "y"]),
        request_class=st.sampled_from(list(RequestClass)),
        method=st.sampled_from(sorted(RESOURCES_BY_METHOD)),
        start_in=st.floats(0.01, 3.0),
    )
    def push(
        self,
        job: int,
        count: int,
        tenant: str,
        caller: str,
        request_class: RequestClass,
        method: str,
        start_in: float,
    ) -> None:
        submission_id = f"{job}-{tenant}-{caller}-{request_class.name}-{method}"
        for _ in range(count):
            self.number += 1
            task = make_task(
                submission_id,
                self.number,
                tenant=tenant,
                caller=caller,
                request_class=request_class,
                method=method,
                resources=RESOURCES_BY_METHOD[method],
                start_by=self.now + start_in,
                job_remaining=count,
            )
            self.queued[id(task)] = task
            self.queue.push(task)

    @rule(target=running, blocked=st.sets(st.sampled_from(TENANTS), max_size=1))
    def start(self, blocked: set[str]) -> Run | None:
        task = self.queue.pop(
            now=self.now,
            fits=lambda task: choose_target(task, self.targets) is not None,
            blocked_tenants=blocked,
        )
        if task is None:
            for waiting in self.queued.values():
                if waiting.start_by > self.now and waiting.tenant not in blocked:
                    assert choose_target(waiting, self.targets) is None
            return None
        assert task.start_by > self.now
        assert task.tenant not in blocked
        del self.queued[id(task)]
        target = choose_target(task, self.targets)
        assert target is not None
        target.take(task.resources)
        self.started += 1
        return Run(task=task, target=target)

    @rule(run=consumes(running), run_s=st.floats(0.0, 5.0), again=st.booleans())
    def end(self, run: Run | None, run_s: float, again: bool) -> None:
        if run is None:
            return
        task = run.task
        run.target.give_back(task.resources)
        self.started -= 1
        self.queue.charge(
            tenant=task.tenant,
            caller=task.caller,
            submission_id=task.key.submission_id,
            run_s=run_s,
        )
        if again:
            task.attempt += 1
            self.queued[id(task)] = task
            self.queue.push(task)

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        ids = sorted({task.key.submission_id for task in self.queued.values()})
        submission_id = data.draw(st.sampled_from([*ids, "none"]))
        # A task that a search found expired has left the queue; the next expire()
        # returns it.
        expired = {id(task) for task in self.queue._expired}
        gone = [
            key
            for key, task in self.queued.items()
            if task.key.submission_id == submission_id and key not in expired
        ]
        assert self.queue.cancel(submission_id) == len(gone)
        for key in gone:
            del self.queued[key]

    @rule(step=st.floats(0.0, 2.0))
    def expire(self, step: float) -> None:
        self.now += step
        for task in self.queue.expire(self.now):
            assert task.start_by <= self.now
            del self.queued[id(task)]
        step_s = OrderSettings().expiry_step_s
        for task in self.queued.values():
            assert task.start_by > self.now - 2 * step_s

    @invariant()
    def counts_agree(self) -> None:
        # The next expire() returns the tasks that a search found expired.
        pending = len(self.queue._expired)
        assert len(self.queue) + pending == len(self.queued)
        assert sum(self.queue.queued_by_class().values()) == len(self.queue)
        assert sum(self.queue.queued_by_tenant().values()) == len(self.queue)
        for tenant, count in self.queue.queued_by_tenant().items():
            assert self.queue.queued_of(tenant) == count

    @invariant()
    def targets_agree(self) -> None:
        assert sum(target.in_use for target in self.targets) == self.started
        for target in self.targets:
            assert 0 <= target.in_use <= target.slots
            assert 0 <= target.used_accelerators <= target.capacity.accelerators
            assert 0 <= target.used_memory_mib <= target.capacity.memory_mib


TestAccounting = pytest.mark.filterwarnings("ignore")(Accounting.TestCase)
TestAccounting.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
