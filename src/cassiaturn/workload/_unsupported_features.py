"""What a leader cannot do yet, so that it is refused before anything runs.

Failure that it answers: a job that is taken in and carried out in part. Tasks of a gang
started one by one wait for each other until they are given up, a scheduled job runs at
once, a job to be kept is gone with its leader: its caller was told that it is accepted.
"""

from cassiaturn.entities import JobRequest, Route


def unsupported_feature(request: JobRequest, route: Route) -> str | None:
    """Return what a job asks for that is not served, as it stands in the log.

    :param request: the job.
    :param route: the queue that it came by.
    :returns: the name of the feature; None: the job can be served.
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
