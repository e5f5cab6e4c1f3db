"""The users' jobs on targets that tasks share, drawn from a seed.

Shapes are those of their sheets: three kinds in jobs of a few tasks, each task asking
for a part of a worker, on 24 workers of two sizes, at rates that use 0.7 of the places
on an ordinary day and all of them on a heavy one.
"""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

MIN_CPU_MILLIS = 1_000
"""Least that a task asks for, in thousandths of a core."""

MAX_CPU_MILLIS = 10_000
"""Most that one asks for on Kwabena's site, in thousandths of a core."""

LIMIT_S = 1.5
"""How long callers wait that have the same limit for every job, in seconds."""

PATIENCE_S = 1.6
"""How long patient callers wait after an answer has ceased to be of use, in seconds."""

LATE_FACTOR = 3.0
"""Up to so many times its due time an answer is late; after that it is worth
nothing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedKind:
    """One kind of job."""

    name: str
    """Of its route."""

    jobs_per_s: float
    """On an ordinary day."""

    tasks: float
    """Mean number of tasks."""

    run_s: float
    """Mean run time of a task, in seconds."""

    priority: int
    """Of its route; 0 goes first."""

    worth: float
    """Of an answer in time; a late one is worth a fifth."""

    max_attempts: int
    """Runs of a task that may fail."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedSite:
    """One user's workers and kinds."""

    user: str
    """Whose."""

    cpu_millis: int
    """Of a small worker; every third has half as much more."""

    task_cpu_millis: float
    """Mean of what a task asks for."""

    speeds: Sequence[float]
    """Of the workers, in turn."""

    kinds: Sequence[SharedKind]
    """What is asked for."""

    domains: int
    """Failure domains."""


def _kinds(*names: str) -> Sequence[SharedKind]:
    first, second, third = names
    return (
        SharedKind(
            name=first,
            jobs_per_s=17.2,
            tasks=8,
            run_s=0.06,
            priority=0,
            worth=0.0291,
            max_attempts=2,
        ),
        SharedKind(
            name=second,
            jobs_per_s=3.12,
            tasks=4,
            run_s=0.9,
            priority=2,
            worth=0.16,
            max_attempts=2,
        ),
        SharedKind(
            name=third,
            jobs_per_s=50.0,
            tasks=2,
            run_s=0.2,
            priority=1,
            worth=0.01,
            max_attempts=4,
        ),
    )


SHARED_SITES_BY_USER: Mapping[str, SharedSite] = {
    "kwabena": SharedSite(
        user="kwabena",
        cpu_millis=16_000,
        task_cpu_millis=6_800,
        speeds=(1.0,),
        kinds=_kinds("stock-peek", "trick-quote", "deck-check"),
        domains=4,
    ),
    "registre": SharedSite(
        user="registre",
        cpu_millis=32_000,
        task_cpu_millis=14_000,
        speeds=(0.8, 1.0, 1.25),
        kinds=_kinds("chassis-check", "concours-confirm", "marque-lookup"),
        domains=3,
    ),
    "relining": SharedSite(
        user="relining",
        cpu_millis=32_000,
        task_cpu_millis=14_000,
        speeds=(1.0, 1.0, 1 / 1.3),
        kinds=_kinds("inspect-check", "cure-plan", "bypass-size"),
        domains=4,
    ),
}
"""The users' sites, by user."""

WORKERS = 24


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedLoad:
    """How much is asked for, and what fails meanwhile."""

    name: str
    """Of the scenario."""

    rate: float
    """Times the rates of an ordinary day."""

    burst: float = 1.0
    """Times the rate of the longest kind, from 5 to 9 s."""

    has_failures: bool = False
    """Whether workers stall, fail and turn slow in turn."""

    outage: tuple[float, float] | None = None
    """Begin and end of a time in which nobody takes jobs, in seconds. Callers try
    until their limit, so that those of its last 1.5 s come in one moment."""

    length_s: float = 30.0
    """Time in which jobs arrive, in seconds."""

    has_patient_callers: bool = False
    """Whether callers wait until an answer is of no use any more, and longer, instead
    of :data:`LIMIT_S`."""


SHARED_LOADS_BY_NAME: Mapping[str, SharedLoad] = {
    "ordinary": SharedLoad(name="ordinary", rate=0.65),
    "heavy": SharedLoad(name="heavy", rate=1.2, burst=1.8),
    "heavy-failing": SharedLoad(
        name="heavy-failing", rate=1.2, burst=1.8, has_failures=True
    ),
    "after-outage": SharedLoad(
        name="after-outage", rate=1.2, outage=(6.0, 7.8), length_s=14.0
    ),
    "patient": SharedLoad(name="patient", rate=0.65, has_patient_callers=True),
    "patient-heavy": SharedLoad(
        name="patient-heavy", rate=1.2, burst=1.8, has_patient_callers=True
    ),
    "patient-after-outage": SharedLoad(
        name="patient-after-outage",
        rate=1.2,
        outage=(6.0, 7.8),
        length_s=14.0,
        has_patient_callers=True,
    ),
    "patient-double": SharedLoad(
        name="patient-double", rate=2.0, length_s=14.0, has_patient_callers=True
    ),
    "patient-triple": SharedLoad(
        name="patient-triple", rate=3.0, length_s=14.0, has_patient_callers=True
    ),
}
"""The scenarios, by name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SharedJob:
    """One job, with the run times that its tasks have on a usual worker."""

    job_id: str
    """Unique within a play."""

    kind: SharedKind
    """What it is."""

    arrives_at: float
    """In seconds from the begin."""

    lengths_s: Sequence[float]
    """Of its tasks."""

    declared_s: float
    """What its caller says that a task takes."""

    cpu_millis: int
    """What each task asks for."""

    is_patient: bool = False
    """Whether its caller waits until an answer is of no use any more, and longer."""

    @property
    def limit_s(self) -> float:
        """How long its caller waits, in seconds."""
        return LATE_FACTOR * self.due_s + PATIENCE_S if self.is_patient else LIMIT_S

    @property
    def due_s(self) -> float:
        """Time within which its answer is in time, in seconds."""
        return 1.6 * max(self.lengths_s) + 0.06

    @property
    def work(self) -> float:
        """Processor time that it takes on usual workers, in core-seconds."""
        return self.cpu_millis / 1000 * sum(self.lengths_s)

    @property
    def full_worth(self) -> float:
        """What an answer in time is worth: a part by its work, at most four times."""
        work = sum(self.lengths_s) / (self.kind.tasks * self.kind.run_s)
        return self.kind.worth * min(4.0, 0.3 + 0.7 * work)


def draw_jobs(site: SharedSite, load: SharedLoad, seed: int) -> list[SharedJob]:
    """Return the jobs of a play, in order of arrival."""
    rng = random.Random(f"{site.user}/{load.name}/{seed}")
    jobs: list[SharedJob] = []
    for kind in site.kinds:
        at = 0.0
        while True:
            in_burst = kind.run_s > 0.5 and 5.0 <= at < 9.0
            rate = kind.jobs_per_s * load.rate * (load.burst if in_burst else 1.0)
            at += rng.expovariate(rate)
            if at >= load.length_s:
                break
            job = _draw(rng, site, kind, at, len(jobs))
            jobs.append(replace(job, is_patient=load.has_patient_callers))
    return sorted(jobs, key=lambda job: job.arrives_at)


def _draw(
    rng: random.Random, site: SharedSite, kind: SharedKind, at: float, number: int
) -> SharedJob:
    run_s = min(4 * kind.run_s, _around(rng, kind.run_s, 0.4))
    count = max(1, min(4 * int(kind.tasks), round(_around(rng, kind.tasks, 0.4))))
    cpu = _around(rng, site.task_cpu_millis, 0.2)
    scale = site.task_cpu_millis / SHARED_SITES_BY_USER["kwabena"].task_cpu_millis
    return SharedJob(
        job_id=f"{kind.name}-{number}",
        kind=kind,
        arrives_at=at,
        lengths_s=[_around(rng, run_s, 0.15) for _ in range(count)],
        declared_s=run_s * math.exp(rng.gauss(0.0, 0.4)),
        cpu_millis=int(min(max(cpu, MIN_CPU_MILLIS), MAX_CPU_MILLIS * scale)),
    )


def _around(rng: random.Random, mean: float, spread: float) -> float:
    """Return a draw with a mean and a spread of its logarithm."""
    return mean * math.exp(rng.gauss(0.0, spread) - spread * spread / 2)
