"""What callers' requests come to, whatever protocol they came by."""

from collections.abc import Awaitable
from typing import Protocol

from cassiaturn.entities import JobRequest, JobStatus, Route
from cassiaturn.fleet._caller_jobs import RETRY_AFTER_S
from cassiaturn.fleet._member import Member
from cassiaturn.workload import Outcome


class CallerJobService(Protocol):
    """What the server of callers' requests asks of the product."""

    unconfigured_retry_s: float
    """When to come back while there is no configuration, in seconds."""

    @property
    def is_ready(self) -> bool:
        """Whether new callers should come here."""

    @property
    def is_stopping(self) -> bool:
        """Whether callers should take another connection after this answer."""

    @property
    def is_configured(self) -> bool:
        """Whether routes are known."""

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request."""

    def submit(
        self,
        request: JobRequest,
        route: Route,
        limit_s: float | None,
        *,
        waited_s: float,
    ) -> Awaitable[Outcome]:
        """Take a job and return its final answer.

        :param limit_s: how long its caller waits, in seconds; None: not told.
        :param waited_s: how long it has waited already, in seconds.
        """

    def status(self, job_id: str) -> JobStatus | None:
        """Return where a job stands; None: there is no such job."""

    def cancel(self, job_id: str) -> bool:
        """End a job at its caller's wish.

        :returns: whether there was such a job.
        """

    def waiting(self, route: Route) -> int:
        """Return the accepted jobs of a route of which no task has started."""


class MemberJobService:
    """The desk of one member."""

    unconfigured_retry_s = RETRY_AFTER_S

    def __init__(self, *, member: Member) -> None:
        self._member = member

    @property
    def is_ready(self) -> bool:
        """Whether new callers should come here."""
        return self._member.is_ready

    @property
    def is_stopping(self) -> bool:
        """Whether callers should take another connection after this answer."""
        return self._member.is_stopping

    @property
    def is_configured(self) -> bool:
        """Whether routes are known."""
        return self._member.routing.current is not None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request."""
        table = self._member.routing.current
        return table.find(host, path) if table is not None else None

    def submit(
        self,
        request: JobRequest,
        route: Route,
        limit_s: float | None,
        *,
        waited_s: float,
    ) -> Awaitable[Outcome]:
        """Take a job and return its final answer."""
        caller_jobs = self._member.caller_jobs
        return caller_jobs.submit(request, route, limit_s, waited_s=waited_s)

    def status(self, job_id: str) -> JobStatus | None:
        """Return where a job stands; None: there is no such job.

        Jobs that need not be stored are known only where their caller waits.
        """
        return JobStatus.RUNNING if self._member.caller_jobs.is_open(job_id) else None

    def cancel(self, job_id: str) -> bool:
        """End a job at its caller's wish."""
        return self._member.caller_jobs.cancel(job_id)

    def waiting(self, route: Route) -> int:
        """Return the accepted jobs of a route of which no task has started."""
        return self._member.caller_jobs.waiting_by_route.get(route.name, 0)
