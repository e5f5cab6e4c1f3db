"""Implements the engine's output ports: frames to streams, answers to callers."""

import asyncio
import time
from collections.abc import Callable, Mapping

from cassiaturn.engine import Job, TaskRecord
from cassiaturn.entities import Answer, Resources, TaskKey
from cassiaturn.observability import Metrics
from cassiaturn.server._link import Link
from cassiaturn.targets import RunnerSession
from cassiaturn.v1 import options_pb2, peer_pb2, runner_pb2

MS_PER_S = 1000


class ServerPorts:
    """Fills the outboxes of streams and wakes calls that wait for an answer.

    Frames for a lost stream are dropped. A task that was sent on it is settled
    when the target welcomes a new stream, or when the task's lease has expired.
    """

    def __init__(
        self,
        *,
        links_by_incarnation: Mapping[str, Link],
        metrics: Metrics,
        on_settled: Callable[[Answer, Job | None], None],
        on_superseded: Callable[[], None],
    ) -> None:
        """Create the ports of one instance.

        :param links_by_incarnation: open links, kept up to date by the caller.
        :param metrics: records how long started tasks were queued.
        :param on_settled: called with each settled answer and its job, if any.
        :param on_superseded: called when a successor took over.
        """
        self.sessions_by_target: Mapping[str, RunnerSession] = {}
        """Set after construction: the target manager needs these ports first."""
        self._links_by_incarnation = links_by_incarnation
        self._metrics = metrics
        self._on_settled = on_settled
        self._on_superseded = on_superseded
        self.waiters_by_id: dict[str, list[asyncio.Future[Answer]]] = {}

    def send_start(self, record: TaskRecord, *, within_s: float, lease_ms: int) -> None:
        """Send a start; its latest start time is given on the runner's own clock.

        :param within_s: time in which the task may begin, in seconds.
        :param lease_ms: lease of the task, in milliseconds.
        """
        session = self.sessions_by_target[record.target_id]
        clock_ms = session.runner_clock(time.monotonic())
        resources = record.task.resources
        session.outbox.pending.starts.add(
            ref=_ref(record.key, record.task.attempt),
            method=record.method.name,
            payload=record.payload,
            home=record.home,
            start_by_ms=clock_ms + int(within_s * MS_PER_S),
            lease_ms=lease_ms,
            resources=_resources(resources),
        )
        session.outbox.notify()
        task = record.task
        recorder = self._metrics.for_requests(task.tenant, task.request_class)
        recorder.started(record.sent_at - task.enqueued_at)

    def send_cancel(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Ask a target to stop a task."""
        session = self.sessions_by_target.get(target_id)
        if session is not None:
            session.outbox.pending.cancels.append(_ref(key, attempt))
            session.outbox.notify()

    def send_renewal(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Ask a target to extend the lease of a task."""
        session = self.sessions_by_target.get(target_id)
        if session is not None:
            session.outbox.pending.renewals.append(_ref(key, attempt))
            session.outbox.notify()

    def acknowledge(self, target_id: str, key: TaskKey, attempt: int) -> None:
        """Let a target forget a result.

        The acknowledgement waits for the next frame instead of sending its own.
        """
        session = self.sessions_by_target.get(target_id)
        if session is not None:
            session.outbox.pending.acknowledged.append(_ref(key, attempt))

    def spill(self, record: TaskRecord, *, within_s: float, job_remaining: int) -> None:
        """Spill a task to a peer.

        :param within_s: time in which the task may begin, in seconds.
        :param job_remaining: tasks of the job that are not done.
        """
        link = self._links_by_incarnation.get(record.peer)
        if link is None:
            return
        task = record.task
        link.outbox.pending.spills.add(
            start=runner_pb2.StartTask(
                ref=_ref(record.key, task.attempt),
                method=record.method.name,
                payload=record.payload,
                home=record.home,
                resources=_resources(task.resources),
            ),
            tenant=task.tenant,
            caller=task.caller,
            request_class=int(task.request_class),
            repeatable=record.method.repeatable,
            start_by_ms=link.peer_clock(time.monotonic()) + int(within_s * MS_PER_S),
            expected_run_ms=int(task.expected_run_s * MS_PER_S),
            job_remaining=job_remaining,
        )
        link.outbox.notify()

    def cancel_spill(self, peer: str, key: TaskKey, attempt: int) -> None:
        """Ask a peer to drop or stop a task."""
        link = self._links_by_incarnation.get(peer)
        if link is not None:
            link.outbox.pending.cancels.append(_ref(key, attempt))
            link.outbox.notify()

    def return_outcome(self, peer: str, outcome: peer_pb2.SpillOutcome) -> None:
        """Send the outcome of a spilled task to its home."""
        link = self._links_by_incarnation.get(peer)
        if link is not None:
            link.outbox.pending.outcomes.append(outcome)
            link.outbox.notify()

    def deliver(self, answer: Answer, job: Job | None) -> None:
        """Hand a settled answer to every call that waits for it."""
        for waiter in self.waiters_by_id.pop(answer.submission_id, ()):
            if not waiter.done():
                waiter.set_result(answer)
        self._on_settled(answer, job)

    def superseded(self) -> None:
        """Report that a successor took over this incarnation."""
        self._on_superseded()

    async def wait(self, submission_id: str) -> Answer:
        """Return the answer of a submission once it is settled."""
        waiter: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        waiters = self.waiters_by_id.setdefault(submission_id, [])
        waiters.append(waiter)
        try:
            return await waiter
        finally:
            # A caller that hung up must not leave its future behind.
            if waiter in waiters:
                waiters.remove(waiter)


def _ref(key: TaskKey, attempt: int) -> runner_pb2.TaskRef:
    return runner_pb2.TaskRef(
        submission_id=key.submission_id, index=key.task_index, attempt=attempt
    )


def _resources(resources: Resources) -> options_pb2.Resources:
    return options_pb2.Resources(
        cpu_millis=resources.cpu_millis,
        memory_mib=resources.memory_mib,
        accelerators=resources.accelerators,
    )
