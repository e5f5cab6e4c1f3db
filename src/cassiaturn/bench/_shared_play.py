"""Plays a load before the real tables of a leader."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from cassiaturn.bench._shared_load import (
    WORKERS,
    SharedJob,
    SharedLoad,
    SharedSite,
    draw_jobs,
)
from cassiaturn.bench._shared_result import SharedResult, tally
from cassiaturn.bench._shared_variants import EXACT, variants_by_name
from cassiaturn.standins.virtual_targets import ROUTE, VirtualLeader
from cassiaturn.transport import spread_arrivals

WORKERS_PER_RACK = 6


def play_shared(
    site: SharedSite, load: SharedLoad, *, variant: str, seed: int
) -> SharedResult:
    """Play a load; ``variant`` is ours, the bound, or ours with one module off."""
    with variants_by_name()[variant]():
        return _play(site, load, variant, seed)


def _play(site: SharedSite, load: SharedLoad, variant: str, seed: int) -> SharedResult:
    play = VirtualLeader()
    for index in range(WORKERS):
        add_worker(play, site, index)
    play.run(0.1)
    jobs = draw_jobs(site, load, seed)
    if load.has_failures:
        fail_workers(play)
    begin = play.now
    waits_by_id = told_waits(load, jobs)
    for number, job in enumerate(jobs):
        taken_at = take_time(load, job.arrives_at)
        waited_s = taken_at - job.arrives_at
        if waited_s < job.limit_s:
            play.run(max(0.0, begin + taken_at - play.now))
            submit_job(
                play,
                job,
                waited_s=waited_s,
                told_wait_s=waits_by_id.get(job.job_id),
                knows_lengths=variant == EXACT,
                failure_domain=domain_of(site, number),
            )
    play.run(max(job.limit_s for job in jobs) + 0.2)
    return tally(site, load, variant, jobs, lambda _: play)


def add_worker(play: VirtualLeader, site: SharedSite, index: int) -> None:
    """Add one of a site's workers, by its number."""
    size = 3 if index % 3 == 2 else 2
    kind = index // 3 % len(site.speeds)
    play.add_target(
        f"w{index}",
        cpu=site.cpu_millis * size // 2,
        speed=site.speeds[kind],
        failure_domain=domain_of(site, index),
        labels=frozenset({f"kind-{kind}", f"rack-{index // WORKERS_PER_RACK}"}),
    )


def domain_of(site: SharedSite, number: int) -> str:
    """Return the failure domain of a worker or a caller, by its number."""
    return f"domain-{number % site.domains}"


def take_time(load: SharedLoad, at: float) -> float:
    """Return when a job that its caller sent at a time is taken in, in seconds."""
    if load.outage is not None and load.outage[0] <= at < load.outage[1]:
        return load.outage[1]
    return at


def told_waits(load: SharedLoad, jobs: Sequence[SharedJob]) -> Mapping[str, float]:
    """Return how long callers of an outage seem to have waited, by job, in seconds.

    They waited in the accept queue of a port, and their place in it tells the time.
    """
    if load.outage is None:
        return {}
    begin, end = load.outage
    opened_at = max(begin, end - max(job.limit_s for job in jobs))
    queued = [job for job in jobs if opened_at <= job.arrives_at < end]
    arrivals = spread_arrivals(len(queued), opened_at=opened_at, now=end)
    return {
        job.job_id: end - came_at for job, came_at in zip(queued, arrivals, strict=True)
    }


def submit_job(
    play: VirtualLeader,
    job: SharedJob,
    *,
    waited_s: float,
    knows_lengths: bool,
    told_wait_s: float | None = None,
    failure_domain: str = "",
) -> None:
    """Hand a job in.

    :param failure_domain: of its caller's member; empty: not told.
    :param waited_s: how long its caller has waited already, in seconds.
    :param told_wait_s: what is known of that; None: the truth.
    :param knows_lengths: whether its true run times are told.
    """
    declared_s = max(job.lengths_s) if knows_lengths else job.declared_s
    play.submit(
        job.job_id,
        count=len(job.lengths_s),
        run_s=declared_s,
        lengths=list(job.lengths_s),
        cpu=job.cpu_millis,
        limit_s=job.limit_s,
        waited_s=waited_s,
        told_wait_s=None if knows_lengths else told_wait_s,
        failure_domain=failure_domain,
        route=replace(
            ROUTE,
            name=job.kind.name,
            priority=job.kind.priority,
            max_attempts=job.kind.max_attempts,
        ),
    )


def fail_workers(play: VirtualLeader) -> None:
    """Let two workers stall, two fail all, and four work at a sixth, for 6 s each."""

    def change(indexes: range, **traits: object) -> None:
        for index in indexes:
            target = play.targets.get(f"w{index}")
            if target is not None:
                for name, value in traits.items():
                    setattr(target, name, value)

    play.later(4.0, lambda: change(range(2), hangs=True))
    play.later(10.0, lambda: change(range(2), hangs=False))
    play.later(12.0, lambda: change(range(3, 5), fails=True))
    play.later(18.0, lambda: change(range(3, 5), fails=False))
    play.later(20.0, lambda: change(range(6, 10), speed=0.16))
    for index in range(6, 10):
        target = play.targets.get(f"w{index}")
        if target is not None:
            play.later(26.0, _restore(play, f"w{index}", target.speed))


def _restore(play: VirtualLeader, name: str, speed: float) -> Callable[[], None]:
    return lambda: setattr(play.targets[name], "speed", speed)
