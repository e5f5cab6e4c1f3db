"""An instance of the dispatcher: the policy modules as its systems call them."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from cassiaturn.bench._fifo_queue import FifoQueue
from cassiaturn.bench._message import MessageKind
from cassiaturn.bench._modules import Modules
from cassiaturn.bench._runner import FakeRunner, JobRun, Start
from cassiaturn.bench._world import World
from cassiaturn.entities import Outcome, Resources, TaskKey
from cassiaturn.policy import (
    Admission,
    AdmissionRequest,
    FairQueue,
    FirstRun,
    LoadView,
    PeerRow,
    Placement,
    QueuedTask,
    Refuse,
    Retry,
    RetryBudget,
    TargetHealth,
    TargetRow,
    choose_target,
    next_quota_part,
)

TICK_S = 0.05
DEMAND_STEP_S = 0.5
"""How often an instance counts its tenants' demand and takes its quota parts."""

TASK_RESOURCES = Resources(cpu_millis=1000, memory_mib=512)
WORKER_CAPACITY = Resources(cpu_millis=16_000, memory_mib=64 * 1024)
CONNECTIONS = 64


@dataclass(slots=True, kw_only=True, eq=False)
class Held:
    """A task on its way, known to its home and to the holder of its target."""

    start: Start
    """The present attempt."""

    task: QueuedTask
    """The task as the queues see it."""

    home: "Instance"
    """The instance that took the job."""

    holder: "Instance"
    """The instance in whose queue or on whose target it is."""

    target: TargetRow | None = None
    """The target that a start was sent to."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """An instance's load, as its messages carry it."""

    free_slots: int
    """Slots that a task could start in."""

    queued: int
    """Tasks queued."""

    expected_wait_s: float
    """Expected wait of a task queued now, in seconds."""

    demand_by_tenant: Mapping[str, int]
    """Running and queued tasks of each tenant."""


class Instance:
    """One instance: the home of jobs and the holder of targets."""

    def __init__(
        self,
        *,
        index: int,
        world: World,
        modules: Modules,
        runners: Sequence[FakeRunner],
        instances: int,
    ) -> None:
        self.instance_id = f"instance-{index}"
        self.failure_domain = world.deployment.domain_of(index)
        self._world = world
        self._modules = modules
        settings = modules.settings
        self._queue: FairQueue | FifoQueue = (
            FairQueue(
                settings=settings.order,
                weights_by_tenant=world.tenants.weights_by_tenant,
            )
            if modules.fair_order
            else FifoQueue()
        )
        self._admission = Admission(settings=settings.admission)
        self._placement = Placement(
            settings=settings.placement, failure_domain=self.failure_domain
        )
        self._health = TargetHealth(settings=settings.health)
        self._retries = RetryBudget(settings=settings.retries, seed=index)
        self._runners_by_id = {f"target-{runner.index}": runner for runner in runners}
        self._targets = [self._add_target(runner) for runner in runners]
        self._targets_by_id = {row.target_id: row for row in self._targets}
        self._instances_by_id: dict[str, Instance] = {}
        self._peers_by_id: dict[str, PeerRow] = {}
        self._sent_at_by_peer: dict[str, float] = {}
        self._demand_by_peer: dict[str, Mapping[str, int]] = {}
        self._quotas_by_tenant = world.tenants.quota_slots(world.deployment.slots)
        self._quota_parts_by_tenant = {
            tenant: slots / instances
            for tenant, slots in self._quotas_by_tenant.items()
        }
        self._held_by_key: dict[TaskKey, Held] = {}
        self._held_by_job: dict[str, set[Held]] = defaultdict(set)
        self._running_by_tenant: Counter[str] = Counter()
        self._demand_by_tenant: Mapping[str, int] = {}
        self._demand_counted_at = 0.0

    def connect(self, instances: Sequence["Instance"]) -> None:
        """Learn of the other instances, and begin to tick."""
        now = self._world.loop.now
        for other in instances:
            if other is self:
                continue
            self._instances_by_id[other.instance_id] = other
            self._sent_at_by_peer[other.instance_id] = now
            self._peers_by_id[other.instance_id] = PeerRow(
                instance_id=other.instance_id,
                incarnation=other.instance_id,
                failure_domain=other.failure_domain,
                free_slots=other._free_slots(),
                queued=0,
                expected_wait_s=0.0,
                reported_at=now,
                ready=True,
                slots=other._usable_slots(),
            )
        self._world.loop.call_later(TICK_S, self._tick)

    def submit(self, run: JobRun) -> None:
        """Admit or refuse a job, and queue its tasks."""
        job = run.job
        now = self._world.loop.now
        expected_s = self._admission.expected_run_s(job.kind.method, job.declared_run_s)
        refusal = self._refusal(run, expected_s)
        if self._modules.admission and refusal is not None:
            self._world.refuse(run, refusal.reason)
            return
        for index in range(len(job.run_s)):
            key = TaskKey(job.submission_id, index)
            task = QueuedTask(
                key=key,
                tenant=job.tenant,
                caller=job.caller,
                request_class=job.kind.request_class,
                method=job.kind.method,
                resources=TASK_RESOURCES,
                enqueued_at=now,
                start_by=run.accepted_at + job.kind.deadline_s,
                job_remaining=len(job.run_s),
                repeatable=job.kind.repeatable,
                expected_run_s=expected_s,
            )
            start = Start(run=run, index=index)
            self._enqueue(Held(start=start, task=task, home=self, holder=self))
        self._dispatch()

    def withdraw(self, run: JobRun) -> None:
        """Drop what is queued of an answered job, and stop what runs."""
        submission_id = run.job.submission_id
        held_by_holder: dict[str, list[Held]] = defaultdict(list)
        for held in sorted(
            self._held_by_job.pop(submission_id, ()), key=lambda item: item.task.key
        ):
            held_by_holder[held.holder.instance_id].append(held)
        for instance_id, tasks in held_by_holder.items():
            if instance_id == self.instance_id:
                self._stop(submission_id, tasks)
                continue
            peer = self._instances_by_id[instance_id]
            self._peers_by_id[instance_id].outstanding -= len(tasks)
            self._send(MessageKind.CANCEL, peer, peer._stop, submission_id, tasks)
        self._queue.forget_job(submission_id)

    # Admission

    def _refusal(self, run: JobRun, expected_s: float) -> Refuse | None:
        job = run.job
        request = AdmissionRequest(
            submission_id=job.submission_id,
            tenant=job.tenant,
            caller=job.caller,
            request_class=job.kind.request_class,
            method=job.kind.method,
            tasks=len(job.run_s),
            expected_run_s=expected_s,
            deadline_in_s=job.kind.deadline_s,
        )
        decision = self._admission.decide(request, self._load_view(job.tenant))
        return decision if isinstance(decision, Refuse) else None

    def _load_view(self, tenant: str) -> LoadView:
        slots = self._usable_slots()
        return LoadView(
            now=self._world.loop.now,
            slots=slots,
            busy=slots - self._free_slots(),
            queued_by_class=self._queue.queued_by_class(),
            tenant_running=self._running_by_tenant[tenant],
            tenant_queued=self._queue.queued_of(tenant),
            tenant_quota_slots=self._quota_parts_by_tenant[tenant],
            mean_run_s_by_class=self._admission.mean_run_s_by_class(),
            peers_free_slots=sum(
                max(peer.free_slots, 0) for peer in self._peers_by_id.values()
            ),
        )

    # Starting

    def _enqueue(self, held: Held) -> None:
        held.holder = self
        held.target = None
        self._held_by_key[held.task.key] = held
        self._held_by_job[held.task.key.submission_id].add(held)
        self._queue.push(held.task)

    def _dispatch(self) -> None:
        if len(self._queue):
            self._start_own()
        if len(self._queue) and self._modules.spill:
            self._spill()

    def _start_own(self) -> None:
        now = self._world.loop.now
        while self._free_slots() > 0:
            task = self._queue.pop(
                now=now, fits=self._fits, blocked_tenants=self._blocked_tenants()
            )
            if task is None:
                return
            target = choose_target(task, self._targets)
            if target is None:
                raise AssertionError(f"{task.key} fitted a target and no longer does")
            self._start(self._held_by_key[task.key], target)

    def _start(self, held: Held, target: TargetRow) -> None:
        target.take(held.task.resources)
        held.target = target
        self._running_by_tenant[held.task.tenant] += 1
        now = self._world.loop.now
        self._health.started(target.target_id, held.task.key, held.task.method, now)
        runner = self._runners_by_id[target.target_id]
        self._world.send(
            MessageKind.START,
            self.failure_domain,
            runner.failure_domain,
            self._reach_runner,
            runner,
            held,
        )

    def _reach_runner(self, runner: FakeRunner, held: Held) -> None:
        start = held.start
        if start.is_over:
            self._leave_runner(runner, MessageKind.RESULT, self._on_stopped, held)
            return

        def on_end(_: FakeRunner, __: Start, succeeded: bool, run_s: float) -> None:
            self._leave_runner(
                runner, MessageKind.RESULT, self._on_ended, held, succeeded, run_s
            )

        if not runner.begin(start, on_end):
            self._leave_runner(
                runner, MessageKind.REFUSED_START, self._on_refused, held
            )

    def _leave_runner(
        self,
        runner: FakeRunner,
        kind: MessageKind,
        callback: Callable[..., None],
        *args: Any,
    ) -> None:
        self._world.send(
            kind, runner.failure_domain, self.failure_domain, callback, *args
        )

    def _fits(self, task: QueuedTask) -> bool:
        return choose_target(task, self._targets) is not None

    def _blocked_tenants(self) -> set[str]:
        if not self._modules.hard_quota:
            return set()
        return {
            tenant
            for tenant, slots in self._quota_parts_by_tenant.items()
            if self._running_by_tenant[tenant] >= max(slots, 1.0)
        }

    # Spilling

    def _spill(self) -> None:
        now = self._world.loop.now
        peers = list(self._peers_by_id.values())
        while True:
            task = self._queue.peek(now=now)
            if task is None or self._held_by_key[task.key].home is not self:
                # A task that came from a peer is not passed on, or two instances
                # with old reports would hand it back and forth.
                return
            peer = self._placement.choose_peer(
                task, self._expected_wait_s(), peers, now
            )
            if peer is None:
                return
            if self._queue.pop(now=now) is not task:
                raise AssertionError(f"{task.key} was next and is no longer")
            held = self._held_by_key.pop(task.key)
            peer.send()
            other = self._instances_by_id[peer.instance_id]
            held.holder = other
            self._send(MessageKind.FORWARD, other, other._on_spilled, held)

    def _on_spilled(self, held: Held) -> None:
        if held.start.run.outcome is not None:
            return
        if self._free_slots() <= 0:
            self._world.tally.misplaced += 1
        self._enqueue(held)
        self._dispatch()

    # Ends

    def _on_ended(self, held: Held, succeeded: bool, run_s: float) -> None:
        target = self._release(held, run_s)
        task = held.task
        now = self._world.loop.now
        self._health.finished(
            target.target_id, task.key, task.method, run_s, succeeded, now
        )
        if held.home is self:
            self._settle(held, succeeded, run_s)
        else:
            self._learn(held, succeeded, run_s)
            self._held_by_job[task.key.submission_id].discard(held)
            home = held.home
            self._send(
                MessageKind.FORWARD,
                home,
                home._on_outcome,
                self,
                held,
                succeeded,
                run_s,
            )
        self._dispatch()

    def _on_outcome(
        self, holder: "Instance", held: Held, succeeded: bool, run_s: float
    ) -> None:
        if held in self._held_by_job.get(held.task.key.submission_id, ()):
            self._peers_by_id[holder.instance_id].outstanding -= 1
        self._charge(held, run_s)
        self._settle(held, succeeded, run_s)
        self._dispatch()

    def _settle(self, held: Held, succeeded: bool, run_s: float) -> None:
        self._learn(held, succeeded, run_s)
        run = held.start.run
        self._held_by_job[run.job.submission_id].discard(held)
        if run.outcome is not None:
            return
        if succeeded:
            self._retries.succeeded(self._world.loop.now)
            if self._world.has_result(held.start, run_s):
                self._held_by_job.pop(run.job.submission_id, None)
                self._queue.forget_job(run.job.submission_id)
        else:
            self._try_again(held, FirstRun.OVER)

    def _try_again(self, held: Held, first_run: FirstRun) -> None:
        task = held.task
        task.attempt += 1
        decision = self._retries.decide(
            attempt=task.attempt,
            repeatable=task.repeatable,
            first_run=first_run,
            now=self._world.loop.now,
        )
        is_allowed = self._modules.retries or first_run is FirstRun.NEVER_BEGUN
        if not isinstance(decision, Retry) or not is_allowed:
            self._world.answer(held.start.run, Outcome.FAILED)
            self.withdraw(held.start.run)
            return
        held.start = Start(
            run=held.start.run, index=held.start.index, attempt=task.attempt
        )
        self._held_by_job[task.key.submission_id].add(held)
        self._world.loop.call_later(decision.delay_s, self._queue_again, held)

    def _queue_again(self, held: Held) -> None:
        if held.start.run.outcome is None:
            held.task.job_remaining = self._remaining(held.start.run)
            self._enqueue(held)
            self._dispatch()

    def _on_refused(self, held: Held) -> None:
        target = self._release(held, 0.0)
        now = self._world.loop.now
        self._health.refused(target.target_id, None, now, held.task.key)
        if held.home is self and held.start.run.outcome is None:
            self._try_again(held, FirstRun.NEVER_BEGUN)
        else:
            self._queue_again(held)
        self._dispatch()

    def _on_stopped(self, held: Held) -> None:
        target = self._release(held, 0.0)
        now = self._world.loop.now
        self._health.refused(target.target_id, None, now, held.task.key)
        self._dispatch()

    def _release(self, held: Held, run_s: float) -> TargetRow:
        target = held.target
        if target is None:
            raise AssertionError(f"{held.task.key} ended and was not started")
        target.give_back(held.task.resources)
        held.target = None
        self._held_by_key.pop(held.task.key, None)
        self._running_by_tenant[held.task.tenant] -= 1
        self._charge(held, run_s)
        return target

    def _charge(self, held: Held, run_s: float) -> None:
        task = held.task
        self._queue.charge(
            tenant=task.tenant,
            caller=task.caller,
            submission_id=task.key.submission_id,
            run_s=run_s,
        )

    def _learn(self, held: Held, succeeded: bool, run_s: float) -> None:
        if succeeded:
            task = held.task
            self._admission.observe_run(task.method, task.request_class, run_s)

    def _stop(self, submission_id: str, tasks: Sequence[Held]) -> None:
        self._queue.forget_job(submission_id)
        self._held_by_job.pop(submission_id, None)
        for held in tasks:
            target = held.target
            if target is None:
                self._held_by_key.pop(held.task.key, None)
                continue
            runner = self._runners_by_id[target.target_id]
            self._world.send(
                MessageKind.CANCEL,
                self.failure_domain,
                runner.failure_domain,
                self._stop_on_runner,
                runner,
                held,
            )

    def _stop_on_runner(self, runner: FakeRunner, held: Held) -> None:
        if runner.stop(held.start):
            self._leave_runner(runner, MessageKind.RESULT, self._on_stopped, held)

    # Reports and ticks

    def _send(
        self,
        kind: MessageKind,
        peer: "Instance",
        callback: Callable[..., None],
        *args: Any,
    ) -> None:
        self._sent_at_by_peer[peer.instance_id] = self._world.loop.now
        self._world.send(
            kind,
            self.failure_domain,
            peer.failure_domain,
            peer._receive,
            self.instance_id,
            self._report(),
            callback,
            *args,
        )

    def _receive(
        self, sender: str, report: Report, callback: Callable[..., None], *args: Any
    ) -> None:
        peer = self._peers_by_id[sender]
        peer.report(
            free_slots=report.free_slots,
            queued=report.queued,
            expected_wait_s=report.expected_wait_s,
            now=self._world.loop.now,
        )
        self._demand_by_peer[sender] = report.demand_by_tenant
        callback(*args)

    def _report(self) -> Report:
        return Report(
            free_slots=max(self._free_slots() - len(self._queue), 0),
            queued=len(self._queue),
            expected_wait_s=self._expected_wait_s(),
            demand_by_tenant=self._demand_by_tenant,
        )

    def _tick(self) -> None:
        now = self._world.loop.now
        for task in self._queue.expire(now):
            self._on_expired(self._held_by_key.pop(task.key))
        if self._modules.health:
            for change in self._health.tick(now):
                self._targets_by_id[change.target_id].allowance = change.allowance
        if now - self._demand_counted_at >= DEMAND_STEP_S:
            self._demand_counted_at = now
            self._update_quota_parts()
        for instance_id, sent_at in self._sent_at_by_peer.items():
            if now - sent_at >= self._modules.heartbeat_s:
                peer = self._instances_by_id[instance_id]
                self._send(MessageKind.HEARTBEAT, peer, peer._dispatch)
        self._dispatch()
        if self._world.unanswered:
            self._world.loop.call_later(TICK_S, self._tick)

    def _on_expired(self, held: Held) -> None:
        run = held.start.run
        if held.home is self and run.outcome is None:
            outcome = Outcome.FAILED if run.begun else Outcome.NOT_RUN
            self._world.answer(run, outcome)
            self.withdraw(run)

    def _update_quota_parts(self) -> None:
        self._demand_by_tenant = {
            tenant: self._running_by_tenant[tenant] + self._queue.queued_of(tenant)
            for tenant in self._quotas_by_tenant
        }
        demand_by_instance = {
            **self._demand_by_peer,
            self.instance_id: self._demand_by_tenant,
        }
        for tenant, quota in self._quotas_by_tenant.items():
            self._quota_parts_by_tenant[tenant] = next_quota_part(
                quota_slots=quota,
                instance_id=self.instance_id,
                demand_by_instance={
                    instance: by_tenant.get(tenant, 0)
                    for instance, by_tenant in demand_by_instance.items()
                },
                current_slots=self._quota_parts_by_tenant[tenant],
            )

    def _expected_wait_s(self) -> float:
        slots = self._usable_slots()
        if slots == 0:
            return float("inf")
        mean_s_by_class = self._admission.mean_run_s_by_class()
        queued_s = sum(
            count * mean_s_by_class.get(request_class, TICK_S)
            for request_class, count in self._queue.queued_by_class().items()
        )
        return queued_s / slots

    def _remaining(self, run: JobRun) -> int:
        return len(run.job.run_s) - len(run.results)

    def _free_slots(self) -> int:
        return sum(
            max(0, min(row.slots, row.allowance) - row.in_use) for row in self._targets
        )

    def _usable_slots(self) -> int:
        return sum(min(row.slots, row.allowance) for row in self._targets)

    def _add_target(self, runner: FakeRunner) -> TargetRow:
        target_id = f"target-{runner.index}"
        self._health.add(target_id, runner.slots)
        return TargetRow(
            target_id=target_id,
            failure_domain=runner.failure_domain,
            worker=target_id,
            slots=runner.slots,
            connections=CONNECTIONS,
            capacity=WORKER_CAPACITY,
        )
