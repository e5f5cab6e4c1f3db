"""Detects jobs that a leader cannot serve, to refuse them before they start.

Failure that it prevents: a job that is accepted but not carried out as requested. The
tasks of a gang, which need each other, start one by one and wait for the rest until
they are abandoned; a scheduled job runs at once; and a job that is to be stored is lost
with its leader, although its caller was told that it was accepted.
"""

from cassiaturn.entities import JobRequest, Route


def unsupported_feature(request: JobRequest, route: Route) -> str | None:
    """Return the first feature that a job asks for and that is not supported.

    :param request: the job.
    :param route: the route by which it came.
    :returns: the reason to log; None: the job can be served.
    """
    if request.must_be_stored:
        return "stored_jobs_not_served"
    if request.schedule is not None:
        return "schedules_not_served"
    if route.advice is not None:
        return "advice_not_served"
    if any(group.all_or_none for group in request.groups):
        return "gangs_not_served"
    if any(group.long_running for group in request.groups):
        return "lasting_tasks_not_served"
    return None
