"""An instance of the dispatcher: the policy modules as its systems call them."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence, Set
from typing import Any

from cassiaturn.bench._fifo_queue import FifoQueue
from cassiaturn.bench._held import Held, Report
from cassiaturn.bench._intake import make_request, make_task
from cassiaturn.bench._links import PeerLinks
from cassiaturn.bench._message import MessageKind
from cassiaturn.bench._modules import Modules
from cassiaturn.bench._own_targets import OwnTargets
from cassiaturn.bench._quota_parts import QuotaParts
from cassiaturn.bench._runner import FakeRunner, JobRun, Start
from cassiaturn.bench._world import World
from cassiaturn.entities import Outcome, TaskKey
from cassiaturn.policy import (
    Admission,
    FairQueue,
    LoadView,
    PeerRow,
    Placement,
    PreviousRun,
    QueuedTask,
    Refuse,
    Retry,
    RetryBudget,
)

TICK_S = 0.05
DEMAND_STEP_S = 0.5
"""How often an instance counts its tenants' demand and takes its quota parts."""


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
        self._queue: FairQueue | FifoQueue = FifoQueue()
        if modules.fair_order:
            self._queue = FairQueue(
                settings=settings.order,
                weights_by_tenant=world.tenants.weights_by_tenant,
            )
        self._admission = Admission(settings=settings.admission)
        self._placement = Placement(
            settings=settings.placement, failure_domain=self.failure_domain
        )
        self._retries = RetryBudget(settings=settings.retries, seed=index)
        self._targets = OwnTargets(
            world=world,
            modules=modules,
            failure_domain=self.failure_domain,
            runners=runners,
            events=self,
        )
        self.links = PeerLinks(
            world=world,
            instance_id=self.instance_id,
            failure_domain=self.failure_domain,
            heartbeat_s=modules.heartbeat_s,
        )
        self._quotas = QuotaParts(
            world=world, instance_id=self.instance_id, instances=instances
        )
        self._held_by_key: dict[TaskKey, Held] = {}
        self._held_by_job: dict[str, set[Held]] = defaultdict(set)
        self._running_by_tenant: Counter[str] = Counter()
        self._demand_by_tenant: Mapping[str, int] = {}
        self._demand_counted_at = 0.0

    def connect(self, instances: Sequence["Instance"]) -> None:
        """Learn of the other instances, and begin to tick."""
        for other in instances:
            if other is not self:
                self.links.add(other)
        self.links.find_neighbours()
        self._world.loop.call_later(TICK_S, self._tick)

    def usable_slots(self) -> int:
        """Return the slots of the targets held here."""
        return self._targets.usable_slots()

    def submit(self, run: JobRun) -> None:
        """Admit or refuse a job, and queue its tasks."""
        job = run.job
        expected_s = self._admission.expected_run_s(job.kind.method, job.declared_run_s)
        if self._modules.admission:
            refusal = self._refusal(run, expected_s)
            if refusal is not None:
                self._world.refuse(run, refusal.reason)
                return
        for index in range(len(job.run_s)):
            task = make_task(run, index, expected_s)
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
            peer = self.links.instance(instance_id)
            self.links.rows_by_id[instance_id].outstanding -= len(tasks)
            self._send(MessageKind.CANCEL, peer, peer._stop, submission_id, tasks)
        self._queue.forget_job(submission_id)

    def on_ended(self, held: Held, succeeded: bool, run_s: float) -> None:
        """Take in the end of a task and its run time in seconds."""
        self._forget_running(held, run_s)
        if held.home is self:
            self._settle(held, succeeded, run_s)
        else:
            self._learn(held, succeeded, run_s)
            self._held_by_job[held.task.key.submission_id].discard(held)
            home = held.home
            outcome = (self, held, succeeded, run_s)
            self._send(MessageKind.FORWARD, home, home._on_outcome, *outcome)
        self._dispatch()

    def on_refused(self, held: Held) -> None:
        """Take in that a target had no slot."""
        self._forget_running(held, 0.0)
        if held.home is self and held.start.run.outcome is None:
            self._try_again(held, PreviousRun.NEVER_BEGUN)
        else:
            self._queue_again(held)
        self._dispatch()

    def on_stopped(self, held: Held) -> None:
        """Take in that a task was stopped."""
        self._forget_running(held, 0.0)
        self._dispatch()

    def _refusal(self, run: JobRun, expected_s: float) -> Refuse | None:
        request = make_request(run, expected_s)
        decision = self._admission.decide(request, self._load_view(run.job.tenant))
        return decision if isinstance(decision, Refuse) else None

    def _load_view(self, tenant: str) -> LoadView:
        slots = self._targets.usable_slots()
        return LoadView(
            now=self._world.loop.now,
            slots=slots,
            busy=slots - self._targets.free_slots(),
            queued_by_class=self._queue.queued_by_class(),
            tenant_running=self._running_by_tenant[tenant],
            tenant_queued=self._queue.queued_of(tenant),
            tenant_quota_slots=self._quotas.slots_by_tenant[tenant],
            mean_run_s_by_class=self._admission.mean_run_s_by_class(),
            peers_free_slots=sum(max(row.free_slots, 0) for row in self.links.rows()),
        )

    def _enqueue(self, held: Held) -> None:
        held.holder = self
        held.target = None
        self._held_by_key[held.task.key] = held
        self._held_by_job[held.task.key.submission_id].add(held)
        self._queue.push(held.task)

    def _dispatch(self) -> None:
        if len(self._queue):
            self._start_own()
        while len(self._queue) and self._modules.spill and self._spill():
            self._start_own()

    def _start_own(self) -> None:
        now = self._world.loop.now
        while self._targets.free_slots() > 0:
            task = self._queue.pop(
                now=now,
                fits=self._targets.fits,
                blocked_tenants=self._blocked_tenants(),
            )
            if task is None:
                return
            self._running_by_tenant[task.tenant] += 1
            self._targets.start(self._held_by_key[task.key])

    def _blocked_tenants(self) -> Set[str]:
        if not self._modules.hard_quota:
            return frozenset()
        return self._quotas.used_up(self._running_by_tenant)

    def _spill(self) -> bool:
        """Give tasks to peers.

        :returns: whether the next task may now use spare slots here.
        """
        now = self._world.loop.now
        peers = self.links.rows()
        while True:
            task = self._queue.peek(now=now)
            if task is None:
                return False
            might_use_spare = task.may_use_spare
            peer = self._choose_peer(task, peers)
            if peer is None:
                return task.may_use_spare and not might_use_spare
            if self._queue.pop(now=now) is not task:
                raise AssertionError(f"{task.key} was next and is no longer")
            peer.count_send()
            held = self._held_by_key.pop(task.key)
            held.holder = other = self.links.instance(peer.instance_id)
            self._send(MessageKind.FORWARD, other, other._on_spilled, held)

    def _choose_peer(
        self, task: QueuedTask, peers: Sequence[PeerRow]
    ) -> PeerRow | None:
        if self._held_by_key[task.key].home is not self:
            # A task that came from a peer is not passed on, or two instances
            # with old reports would hand it back and forth.
            task.may_use_spare = True
            return None
        wait_s = self._expected_wait_s()
        now = self._world.loop.now
        return self._placement.choose_peer(task, wait_s, peers, now)

    def _on_spilled(self, held: Held) -> None:
        if held.start.run.outcome is not None:
            return
        if self._targets.free_slots() <= 0:
            self._world.tally.misplaced += 1
        self._enqueue(held)
        self._dispatch()

    def _on_outcome(
        self, holder: "Instance", held: Held, succeeded: bool, run_s: float
    ) -> None:
        if held in self._held_by_job.get(held.task.key.submission_id, ()):
            self.links.rows_by_id[holder.instance_id].outstanding -= 1
        self._charge(held, run_s)
        self._settle(held, succeeded, run_s)
        self._dispatch()

    def _settle(self, held: Held, succeeded: bool, run_s: float) -> None:
        self._learn(held, succeeded, run_s)
        run = held.start.run
        submission_id = run.job.submission_id
        self._held_by_job[submission_id].discard(held)
        if run.outcome is not None:
            return
        if not succeeded:
            self._try_again(held, PreviousRun.OVER)
            return
        self._retries.succeeded(self._world.loop.now)
        if self._world.has_result(held.start, run_s):
            self._held_by_job.pop(submission_id, None)
            self._queue.forget_job(submission_id)

    def _try_again(self, held: Held, previous_run: PreviousRun) -> None:
        task = held.task
        run = held.start.run
        task.attempt += 1
        decision = self._retries.decide(
            attempt=task.attempt,
            repeatable=task.repeatable,
            previous_run=previous_run,
            now=self._world.loop.now,
        )
        is_allowed = self._modules.retries or previous_run is PreviousRun.NEVER_BEGUN
        if not isinstance(decision, Retry) or not is_allowed:
            self._world.answer(run, Outcome.FAILED)
            self.withdraw(run)
            return
        held.start = Start(run=run, index=held.start.index, attempt=task.attempt)
        self._held_by_job[task.key.submission_id].add(held)
        self._world.loop.call_later(decision.delay_s, self._queue_again, held)

    def _queue_again(self, held: Held) -> None:
        run = held.start.run
        if run.outcome is None:
            held.task.job_remaining = len(run.job.run_s) - len(run.results)
            self._enqueue(held)
            self._dispatch()

    def _forget_running(self, held: Held, run_s: float) -> None:
        self._held_by_key.pop(held.task.key, None)
        self._running_by_tenant[held.task.tenant] -= 1
        self._charge(held, run_s)

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
            if held.target is None:
                self._held_by_key.pop(held.task.key, None)
            else:
                self._targets.stop(held, held.target)

    def _send(
        self,
        kind: MessageKind,
        peer: "Instance",
        callback: Callable[..., None],
        *args: Any,
    ) -> None:
        self.links.send(kind, peer, self._report(), callback, *args)

    def _report(self) -> Report:
        return Report(
            free_slots=max(self._targets.free_slots() - len(self._queue), 0),
            queued=len(self._queue),
            expected_wait_s=self._expected_wait_s(),
            demand_by_tenant=self._demand_by_tenant,
        )

    def _tick(self) -> None:
        now = self._world.loop.now
        for task in self._queue.expire(now):
            held = self._held_by_key.pop(task.key, None)
            if held is not None:
                # The first expired task of a job withdraws the others with it.
                self._on_expired(held)
        if self._modules.health:
            self._targets.update_health()
        if now - self._demand_counted_at >= DEMAND_STEP_S:
            self._demand_counted_at = now
            self._count_demand()
        for peer in self.links.silent():
            self._send(MessageKind.HEARTBEAT, peer, peer._dispatch)
        self._dispatch()
        if self._modules.notices:
            self._notify()
        if self._world.unanswered:
            self._world.loop.call_later(TICK_S, self._tick)

    def _notify(self) -> None:
        free_slots = self._targets.free_slots()
        queued = len(self._queue)
        for peer in self.links.to_notify(free_slots=free_slots, queued=queued):
            self._send(MessageKind.HEARTBEAT, peer, peer._dispatch)

    def _on_expired(self, held: Held) -> None:
        run = held.start.run
        if held.home is self and run.outcome is None:
            outcome = Outcome.FAILED if run.begun else Outcome.NOT_RUN
            self._world.answer(run, outcome)
            self.withdraw(run)

    def _count_demand(self) -> None:
        self._demand_by_tenant = {
            tenant: self._running_by_tenant[tenant] + self._queue.queued_of(tenant)
            for tenant in self._quotas.slots_by_tenant
        }
        self._quotas.update(self._demand_by_tenant, self.links.demand_by_peer)

    def _expected_wait_s(self) -> float:
        slots = self._targets.usable_slots()
        if slots == 0:
            return float("inf")
        mean_s_by_class = self._admission.mean_run_s_by_class()
        queued_s = sum(
            count * mean_s_by_class.get(request_class, TICK_S)
            for request_class, count in self._queue.queued_by_class().items()
        )
        return queued_s / slots
