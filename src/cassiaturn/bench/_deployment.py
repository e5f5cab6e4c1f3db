"""The sites of both users, as the benchmarks see them."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from cassiaturn.bench._traffic import Job, RequestKind
from cassiaturn.entities import RequestClass

SLOTS_PER_TARGET = 8
CONNECTIONS_PER_TARGET = 64
TARGETS = 24
INSTANCES = 8

LOCAL_LATENCY_S = 0.0001
"""One way inside a failure domain: an assumption, a tenth of a millisecond."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """A site: where instances and targets stand and how far apart.

    Use it to choose the user whose site and traffic a run reproduces.
    """

    user: str
    """Short name of the user."""

    failure_domains: Sequence[str]
    """Names; instances and targets are dealt to them in turn."""

    domain_latency_s: float
    """One way between failure domains, in seconds."""

    caller_latency_s: float
    """One way between callers and instances, in seconds."""

    kinds: Sequence[RequestKind]
    """The requests that its callers make."""

    targets: int = TARGETS
    """Runners of the site."""

    instances: int = INSTANCES
    """Instances of the dispatcher."""

    slots_per_target: int = SLOTS_PER_TARGET
    """Tasks that a target runs at once."""

    @property
    def slots(self) -> int:
        """Slots of all targets."""
        return self.targets * self.slots_per_target

    def domain_of(self, index: int) -> str:
        """Return the failure domain of the instance or target at an index."""
        return self.failure_domains[index % len(self.failure_domains)]

    def latency_s(self, source: str, destination: str) -> float:
        """Return the one-way latency between two failure domains, in seconds."""
        return LOCAL_LATENCY_S if source == destination else self.domain_latency_s

    def ideal_s(self, longest_run_s: float) -> float:
        """Return the response time of a job on the idle site.

        :param longest_run_s: run time of the job's longest task, in seconds.
        :returns: that run time and one round trip from the caller through an
            instance to a target of its own failure domain, in seconds.
        """
        return longest_run_s + 2 * (self.caller_latency_s + LOCAL_LATENCY_S)

    def can_answer(self, job: Job) -> bool:
        """Return whether the idle site answers a job by its deadline."""
        return self.ideal_s(job.longest_run_s) <= job.kind.deadline_s


KWABENA = Deployment(
    user="kwabena",
    failure_domains=("osu", "makola", "tema", "labone"),
    domain_latency_s=0.0005,
    caller_latency_s=0.001,
    kinds=(
        RequestKind(
            method="kwabena.v1.Props/CheckAvailability",
            request_class=RequestClass.URGENT,
            share=0.50,
            median_run_s=0.08,
            declared_run_s=0.08,
            deadline_s=2.0,
            many_share=0.05,
            many_range=(2, 10),
        ),
        RequestKind(
            method="kwabena.v1.Props/OrderDeck",
            request_class=RequestClass.URGENT,
            share=0.15,
            median_run_s=0.15,
            declared_run_s=0.15,
            deadline_s=5.0,
            repeatable=False,
        ),
        RequestKind(
            method="kwabena.v1.Props/PriceIllusion",
            request_class=RequestClass.NORMAL,
            share=0.34,
            median_run_s=0.3,
            declared_run_s=0.4,
            deadline_s=10.0,
            tail_share=0.01,
            many_share=0.05,
            many_range=(10, 50),
        ),
        RequestKind(
            method="kwabena.v1.Props/RepriceCatalogue",
            request_class=RequestClass.BATCH,
            share=0.01,
            median_run_s=0.3,
            declared_run_s=0.4,
            deadline_s=60.0,
            tail_share=0.01,
            many_share=1.0,
            many_range=(10, 750),
        ),
    ),
)

REGISTRE = Deployment(
    user="registre",
    failure_domains=("rennes-a", "rennes-b", "vannes-c"),
    domain_latency_s=0.0009,
    caller_latency_s=0.003,
    kinds=(
        RequestKind(
            method="registre.v1.Register/CheckChassis",
            request_class=RequestClass.NORMAL,
            share=0.55,
            median_run_s=0.25,
            declared_run_s=0.3,
            deadline_s=8.0,
            tail_share=0.01,
            many_share=0.05,
            many_range=(10, 50),
        ),
        RequestKind(
            method="registre.v1.Register/ConfirmEntry",
            request_class=RequestClass.URGENT,
            share=0.35,
            median_run_s=0.12,
            declared_run_s=0.12,
            deadline_s=5.0,
            repeatable=False,
        ),
        RequestKind(
            method="registre.v1.Register/LookUpMarque",
            request_class=RequestClass.BATCH,
            share=0.10,
            median_run_s=0.5,
            declared_run_s=0.9,
            deadline_s=60.0,
            tail_share=0.02,
            many_share=0.1,
            many_range=(10, 750),
        ),
    ),
)

DEPLOYMENTS_BY_USER: Mapping[str, Deployment] = {
    deployment.user: deployment for deployment in (KWABENA, REGISTRE)
}
