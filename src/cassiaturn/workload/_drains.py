"""Applies operators' drains of failure domains to the queue and the targets.

The load is a queue behind all targets of a service, a part of which gets no further
start. Jobs at its end can't be served in time by the rest. Kept in the queue, their
callers would learn so only when their deadlines pass; refused at once, they can return
while there is still time.
"""

from cassiaturn.observability import Event
from cassiaturn.workload._admission import excess_wait_s, make_refusal
from cassiaturn.workload._forecast import note_target
from cassiaturn.workload._intake import has_target
from cassiaturn.workload._ports import Ports
from cassiaturn.workload._settle import settle
from cassiaturn.workload._tables import Tables


def on_drained_domains(
    tables: Tables, ports: Ports, failure_domains: frozenset[str], now: float
) -> None:
    """Start nothing more on the targets of some failure domains.

    Runs there end by themselves. Jobs that never began and can't be served by the
    other targets in time are refused.

    :param failure_domains: all drained failure domains.
    :param now: time in seconds.
    """
    before = tables.drained_domains or frozenset()
    tables.drained_domains = failure_domains
    tables.usable_cpu_by_service.clear()
    for target in tables.targets_by_id.values():
        note_target(tables, target, now)
    _forget_speeds(tables, before - failure_domains)
    refused = _refuse_excess(tables, ports, now) if failure_domains - before else 0
    ports.record(
        Event.DRAINS_IN_FORCE,
        drained=",".join(sorted(failure_domains)),
        targets=sum(not tables.may_start_on(t) for t in tables.targets_by_id.values()),
        queued=len(tables.jobs_by_id),
        refused=refused,
    )


def _forget_speeds(tables: Tables, failure_domains: frozenset[str]) -> None:
    """Forget the speeds of targets that may have restarted while they were drained."""
    for target in tables.targets_by_id.values():
        if target.failure_domain in failure_domains:
            target.slowness = 1.0
            speed_model = tables.speeds_by_service[target.service]
            target.speed = speed_model.new_estimate(target.labels)
            target.note_change()


def _refuse_excess(tables: Tables, ports: Ports, now: float) -> int:
    """Refuse jobs that the remaining targets can't serve; return how many."""
    refused = 0
    for service, queue in tables.queue_by_service.items():
        is_served = has_target(tables, service)
        for job in list(queue.in_order()):
            if job.begun:
                continue
            excess_s = excess_wait_s(tables, job, now)
            if is_served and excess_s <= 0.0:
                continue
            retry_after_s = max(tables.settings.min_retry_after_s, excess_s)
            outcome = make_refusal("drained", job, retry_after_s)
            settle(tables, ports, job, outcome, now)
            refused += 1
    return refused
