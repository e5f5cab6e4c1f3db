"""The service behind callers' requests, independent of the protocol they use."""

from collections.abc import Awaitable
from typing import Protocol

from cassiaturn.entities import JobRequest, JobStatus, Route
from cassiaturn.fleet._caller_jobs import RETRY_AFTER_S
from cassiaturn.fleet._member import Member
from cassiaturn.workload import Outcome


class CallerJobService(Protocol):
    """What the server of callers' requests needs from the dispatcher."""

    unconfigured_retry_s: float
    """Retry-after while there is no configuration, in seconds."""

    @property
    def is_ready(self) -> bool:
        """Whether this member accepts new callers."""

    @property
    def is_stopping(self) -> bool:
        """Whether callers should reconnect elsewhere after this answer."""

    @property
    def is_configured(self) -> bool:
        """Whether a routing configuration is in force."""

    def find(self, host: str, path: str) -> Route | None:
        """Return the route that matches a request; None if there is none."""

    def submit(
        self,
        request: JobRequest,
        route: Route,
        limit_s: float | None,
        *,
        waited_s: float,
    ) -> Awaitable[Outcome]:
        """Accept a job and return its final outcome.

        :param limit_s: how long the caller waits, in seconds; None if not stated.
        :param waited_s: how long the caller has waited already, in seconds.
        """

    def status(self, job_id: str) -> JobStatus | None:
        """Return the status of a job; None if there is no such job."""

    def cancel(self, job_id: str) -> Awaitable[bool | None]:
        """Cancel a job on its caller's request.

        :returns: whether there was such a job; None if that is not known.
        """

    def waiting(self, route: Route) -> int:
        """Return the number of a route's accepted jobs without a started task."""


class MemberJobService:
    """The job service of one member."""

    unconfigured_retry_s = RETRY_AFTER_S

    def __init__(self, *, member: Member) -> None:
        self._member = member

    @property
    def is_ready(self) -> bool:
        """Whether this member accepts new callers."""
        return self._member.is_ready

    @property
    def is_stopping(self) -> bool:
        """Whether callers should reconnect elsewhere after this answer."""
        return self._member.is_stopping

    @property
    def is_configured(self) -> bool:
        """Whether a routing configuration is in force."""
        return self._member.routing.current is not None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route that matches a request; None if there is none."""
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
        """Accept a job and return its final outcome."""
        caller_jobs = self._member.caller_jobs
        return caller_jobs.submit(request, route, limit_s, waited_s=waited_s)

    def status(self, job_id: str) -> JobStatus | None:
        """Return the status of a job; None if there is no such job.

        Jobs that need not be stored are known only to the member that serves their
        caller.
        """
        return JobStatus.RUNNING if self._member.caller_jobs.is_open(job_id) else None

    def cancel(self, job_id: str) -> Awaitable[bool | None]:
        """Cancel a job on its caller's request."""
        return self._member.caller_jobs.cancel(job_id)

    def waiting(self, route: Route) -> int:
        """Return the number of a route's accepted jobs without a started task."""
        return self._member.caller_jobs.waiting_by_route.get(route.name, 0)
