"""What callers lose where several leaders share a site's workers in groups.

Each group has a queue and tables of its own. A job goes to its own domain's group, or
to another one that is less loaded by what its member knows, and stays there. Pools
waste places, and what a member knows is old: this says from how many workers on a
split costs little.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from cassiaturn.bench._shared_load import (
    LIMIT_S,
    WORKERS,
    SharedKind,
    SharedLoad,
    SharedSite,
    draw_jobs,
)
from cassiaturn.bench._shared_play import (
    add_worker,
    domain_of,
    fail_workers,
    submit_job,
)
from cassiaturn.bench._shared_result import SharedResult, tally
from cassiaturn.standins.virtual_targets import VirtualLeader

HOME_MARGIN = 0.05
"""By how much less loaded another group must look, as a share of its processors, to
take a job from its own domain's: a twentieth is less than one task of a pool of 14."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Split:
    """How a site is split."""

    workers: int
    """Workers of the site; rates grow with them."""

    groups: int
    """Leaders that share them."""

    view_age_s: float
    """How old at the most is what a member knows of the groups' loads, in seconds."""

    @property
    def name(self) -> str:
        """How results name it."""
        age_ms = round(self.view_age_s * 1000)
        return f"{self.workers}-workers-{self.groups}-groups-{age_ms}-ms"


def play_split(
    site: SharedSite, load: SharedLoad, split: Split, *, seed: int
) -> SharedResult:
    """VirtualLeader a load on a site that is split into groups."""
    grown = _grow(site, split.workers / WORKERS)
    groups = _make_groups(grown, split)
    if load.has_failures:
        for group in groups:
            fail_workers(group)
    jobs = draw_jobs(grown, load, seed)
    chooser = _Chooser(groups=groups, view_age_s=split.view_age_s, seed=seed)
    group_by_job: dict[str, VirtualLeader] = {}
    begin = groups[0].now
    for number, job in enumerate(jobs):
        for group in groups:
            group.run(max(0.0, begin + job.arrives_at - group.now))
        group = chooser.choose(home=number % len(groups))
        group_by_job[job.job_id] = group
        submit_job(
            group,
            job,
            waited_s=0.0,
            knows_lengths=False,
            failure_domain=domain_of(site, number),
        )
    for group in groups:
        group.run(LIMIT_S + 0.2)
    return tally(grown, load, split.name, jobs, lambda job: group_by_job[job.job_id])


def _grow(site: SharedSite, times: float) -> SharedSite:
    kinds: Sequence[SharedKind] = [
        replace(kind, jobs_per_s=kind.jobs_per_s * times) for kind in site.kinds
    ]
    return replace(site, kinds=kinds)


def _make_groups(site: SharedSite, split: Split) -> list[VirtualLeader]:
    groups = [VirtualLeader() for _ in range(split.groups)]
    for index in range(split.workers):
        # By threes, so that every group has workers of both sizes.
        add_worker(groups[index // 3 % split.groups], site, index)
    for group in groups:
        group.run(0.1)
    return groups


class _Chooser:
    """Sends each job to one of two groups, its own domain's and one drawn."""

    def __init__(
        self, *, groups: Sequence[VirtualLeader], view_age_s: float, seed: int
    ) -> None:
        self._groups = groups
        self._view_age_s = view_age_s
        self._chance = random.Random(seed)
        self._loads = [0.0] * len(groups)
        self._seen_at = float("-inf")

    def choose(self, *, home: int) -> VirtualLeader:
        self._look()
        other = self._chance.randrange(len(self._groups))
        if self._loads[other] + HOME_MARGIN < self._loads[home]:
            return self._groups[other]
        return self._groups[home]

    def _look(self) -> None:
        now = self._groups[0].now
        if now - self._seen_at >= self._view_age_s:
            self._seen_at = now
            self._loads = [_load(group) for group in self._groups]


def _load(group: VirtualLeader) -> float:
    """Return what runs and waits, as a share of a group's processors."""
    targets = group.tables.targets_by_id.values()
    total = sum(target.capacity.cpu_millis for target in targets)
    used = sum(target.used_cpu_millis for target in targets)
    waiting = sum(
        task.group.resources.cpu_millis
        for job in group.tables.jobs_by_id.values()
        for task in job.waiting
    )
    return (used + waiting) / total


__all__ = ["Split", "play_split"]
