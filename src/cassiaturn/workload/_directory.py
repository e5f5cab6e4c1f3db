"""Handles targets that join, leave, stop responding or are lost."""

from cassiaturn.entities import Resources, TargetReport
from cassiaturn.observability import Event
from cassiaturn.workload._dispatch import requeue_task
from cassiaturn.workload._ends import remove_run
from cassiaturn.workload._forecast import forget_target
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._tables import (
    Tables,
    Target,
)

RESTARTED_REASON = "other_life"
"""Reason given when another process of the target has answered: the target was
restarted, so none of its earlier runs continues."""


def on_target_report(tables: Tables, ports: Ports, report: TargetReport) -> None:
    """Add or update a target from the report that it publishes."""
    target = tables.targets_by_id.get(report.target_id)
    if target is None:
        tables.add_target(
            Target(
                target_id=report.target_id,
                failure_domain=report.failure_domain,
                capacity=report.capacity,
                labels=report.labels,
                service=report.service,
                leaving=report.leaving,
                incarnation=report.incarnation,
            )
        )
        ports.record(
            Event.TARGET_ADDED,
            target=report.target_id,
            leaving=report.leaving,
            cpu_millis=report.capacity.cpu_millis,
            labels=",".join(sorted(report.labels)),
        )
        return
    if target.capacity != report.capacity:
        _resize(ports, target, report.capacity)
    if target.incarnation != report.incarnation:
        _describe_restarted(tables, target, report)
    target.labels = report.labels
    target.note_change()
    if report.leaving and not target.leaving:
        target.leaving = True
        forget_target(tables, target)
        ports.record(Event.TARGET_LEAVING, target=report.target_id)


def _describe_restarted(tables: Tables, target: Target, report: TargetReport) -> None:
    """Apply what an entry tells of a process that has replaced the known one."""
    target.incarnation = report.incarnation
    target.leaving = report.leaving
    if target.labels != report.labels:
        # What was learned belongs to a worker of another kind, or in another rack.
        speed_model = tables.speeds_by_service[target.service]
        target.speed = speed_model.new_estimate(report.labels)


def on_target_restarted(tables: Tables, target_id: str, incarnation: int) -> None:
    """Forget what holds for the earlier process of a target only.

    Its acknowledged runs have ended, which the next list shows. An order without an
    answer may still be carried out by the new process, so its run counts until the
    target has confirmed an order to stop it.

    :param incarnation: the one that has answered.
    """
    target = tables.targets_by_id.get(target_id)
    if target is None:
        return
    target.listed_incarnation = incarnation
    target.ended_seen = 0
    target.failures_in_row = 0
    target.paused_until = 0.0
    target.slowness = 1.0
    target.note_change()


def _resize(ports: Ports, target: Target, capacity: Resources) -> None:
    """Change a target's capacity; runs that exceed a smaller one continue."""
    ports.record(
        Event.TARGET_RESIZED,
        target=target.target_id,
        cpu_millis=capacity.cpu_millis,
        cpu_millis_before=target.capacity.cpu_millis,
        memory_mib=capacity.memory_mib,
        memory_mib_before=target.capacity.memory_mib,
        used_cpu_millis=target.used_cpu_millis,
        runs=len(target.runs_by_ref),
    )
    target.capacity = capacity


def on_target_gone(
    tables: Tables, ports: Ports, target_id: str, reason: str, now: float
) -> None:
    """Remove a target whose runs under this leader have certainly ended."""
    if target_id not in tables.targets_by_id:
        return
    on_target_lost(tables, ports, target_id, reason, now)
    tables.remove_target(target_id)
    if reason != RESTARTED_REASON:
        # Another leader, on the other side of a partition, may go on starting tasks
        # there. After the partition heals, the lists of this leader's remaining targets
        # seem complete but lack those runs, so their tasks would run twice at the same
        # time. From now on inherited jobs wait until the leases have expired.
        tables.knows_targets = False


def on_target_unanswered(tables: Tables, target_id: str, now: float) -> None:
    """Pause starts on a target that left a request unanswered.

    The pause lasts until its next list can have arrived.
    """
    target = tables.targets_by_id.get(target_id)
    if target is not None:
        pause_until = now + tables.settings.unanswered_pause_s
        target.paused_until = max(target.paused_until, pause_until)


def on_target_silent(tables: Tables, ports: Ports, target_id: str) -> None:
    """Mark a target as not responding: it gets no start until it answers."""
    target = tables.targets_by_id.get(target_id)
    if target is not None and not target.silent:
        target.silent = True
        forget_target(tables, target)
        ports.record(
            Event.TARGET_SILENT, target=target_id, runs=len(target.runs_by_ref)
        )


def on_target_lost(
    tables: Tables, ports: Ports, target_id: str, reason: str, now: float
) -> None:
    """Remove all runs of a target whose process is gone or lease expired."""
    target = tables.targets_by_id.get(target_id)
    if target is None:
        return
    target.silent = True
    tables.note_lost(target)
    tables.set_stray_runs(target, set())
    forget_target(tables, target)
    for run in list(target.runs_by_ref.values()):
        tables.counters.lost_runs += 1
        ports.record(
            Event.RUN_LOST,
            id=run.ref.job_id,
            task=run.ref.task_index,
            target=target_id,
            reason=reason,
            age_ms=round((now - run.started_at) * 1000),
        )
        remove_run(tables, target, run)
        requeue_task(tables, run.ref)
