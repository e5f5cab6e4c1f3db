"""Keeps what a leader needs to forecast starts, and forecasts them.

Load pattern: bursts of 1.75 and 3 times what target capacity or the leader's processor
can serve. Each function here does nothing unless admission is by forecast.
"""

from cassiaturn.sharing import (
    ForecastError,
    QueuedAhead,
    RoomForecast,
    lateness_changes,
    queue_key,
)
from cassiaturn.workload._tables import ForecastState, Job, Run, Tables, Target

RECONCILE_INTERVAL_S = 1.0
"""Interval at which all targets are counted anew, in seconds. Most changes are noted
when they happen; a pause or a drain that ends is noted by then."""

MIN_PERCENT = 5
"""Share of its work from which a run's progress tells its end, in percent."""


NOTHING_AHEAD = QueuedAhead()
"""What is ahead of a job in an empty queue."""


def note_target(tables: Tables, target: Target, now: float) -> None:
    """Count a target and its runs if it may get starts; otherwise drop them.

    Runs on a target that is silent free no capacity until it is heard again.

    :param now: time in seconds.
    """
    forecast = tables.forecast
    if forecast is None:
        return
    room = _room(forecast, target.service)
    counts = (
        target.has_reported
        and not target.silent
        and not target.leaving
        and tables.may_start_on(target)
        and (tables.checks_admission(target.service) or target.usage_is_known)
    )
    if not room.set_target(
        target.target_id, target.capacity.cpu_millis if counts else 0
    ):
        return
    for run in target.runs_by_ref.values():
        room.ends.discard(run)
        if counts:
            note_run(tables, run, now)


def forget_target(tables: Tables, target: Target) -> None:
    """Drop a target that is silent, lost or removed, and its runs."""
    if tables.forecast is None:
        return
    room = _room(tables.forecast, target.service)
    room.set_target(target.target_id, 0)
    for run in target.runs_by_ref.values():
        room.ends.discard(run)


def reconcile_targets(tables: Tables, now: float) -> None:
    """Count all targets anew if that was not done in the last second.

    :param now: time in seconds.
    """
    forecast = tables.forecast
    if forecast is None or now - forecast.reconciled_at < RECONCILE_INTERVAL_S:
        return
    forecast.reconciled_at = now
    for target in tables.targets_by_id.values():
        note_target(tables, target, now)


def note_run(
    tables: Tables, run: Run, now: float, *, remaining_s: float | None = None
) -> None:
    """Count a run that has started, or update its expected end.

    :param now: time in seconds.
    :param remaining_s: its remaining time by its progress, in seconds; None: not known.
    """
    if tables.forecast is None or run.group is None:
        return
    target = tables.targets_by_id[run.target_id]
    room = _room(tables.forecast, target.service)
    if not room.counts(target.target_id):
        return
    if remaining_s is None:
        remaining_s = _remaining_s(tables, target, run, now)
    room.put_run(
        run,
        size=run.group.resources.cpu_millis,
        end_at=now + remaining_s,
        now=now,
    )


def note_first_start(tables: Tables, job: Job, now: float) -> None:
    """Learn from the first start of a job by how much its forecast was wrong.

    A job that became hopeless counts as one that starts at that moment: without such
    jobs, the errors would be those of the lucky ones.

    :param now: time in seconds.
    """
    if tables.forecast is not None and job.forecast_start_at is not None:
        error = tables.forecast.error_by_priority.setdefault(
            job.priority, ForecastError()
        )
        error.observe(now - job.forecast_start_at, now)
        job.forecast_start_at = None


def margin_of(forecast: ForecastState, priority: int, now: float) -> float:
    """Return the time by which forecasts of a priority are extended, in seconds.

    :param now: time in seconds.
    """
    error = forecast.error_by_priority.get(priority)
    return error.margin_s(now) if error is not None else 0.0


def forget_run(tables: Tables, target: Target, run: Run) -> None:
    """Drop a run that has ended."""
    if tables.forecast is not None:
        _room(tables.forecast, target.service).ends.discard(run)


def remaining_by_progress(elapsed_s: float, percent: int) -> float | None:
    """Return the remaining time of a run by its progress, in seconds.

    :param elapsed_s: time since its start, in seconds.
    :param percent: share of its work that is done.
    :returns: None: it has done too little to tell.
    """
    if percent < MIN_PERCENT:
        return None
    return elapsed_s * (99.5 - percent) / (percent + 0.5)


def forecast_wait_s(tables: Tables, job: Job, now: float) -> float:
    """Return after which time the first task of a job is expected to start.

    :param now: time in seconds.
    :returns: in seconds; 0: at once; infinite: not known, since no target that holds
        its tasks is heard, or this leader has just begun.
    """
    forecast = tables.forecast
    if forecast is None:
        return 0.0
    if now < tables.began_at + _first_reports_s(tables):
        return float("inf")
    service = job.route.service
    room = _room(forecast, service)
    queue = tables.queue_by_service.get(service)
    if not queue:
        return room.wait_s(job.least_cpu_millis, NOTHING_AHEAD, now)
    queue.advance(now)
    ahead = queue.ahead_of(job, queue_key(job, now))
    room_s = room.wait_s(job.least_cpu_millis, ahead, now)
    return max(room_s, ahead.starts / forecast.starts_per_s)


def note_admitted(tables: Tables, job: Job, now: float) -> None:
    """Count the work of a job that is queued from now on.

    :param now: time in seconds.
    """
    if tables.forecast is not None:
        work_millicore_s = job.expected_run_s * job.waiting_cpu_millis
        arriving = _room(tables.forecast, job.route.service).arriving
        arriving.note(job.priority, work_millicore_s, now)


def delayed_wait_s(tables: Tables, job: Job, wait_s: float, now: float) -> float:
    """Return a forecast wait, lengthened by jobs that arrive later and go first.

    These are the more urgent ones, or all that can be in time once this job cannot.

    :param wait_s: forecast by the queue as it is, in seconds.
    :param now: time in seconds.
    """
    if tables.forecast is None or not wait_s:
        return wait_s
    room = _room(tables.forecast, job.route.service)
    capacity = room.capacity_millis
    urgent_factor = room.arriving.delay_factor(
        now, capacity_millis=capacity, before=job.priority
    )
    late_from, _ = lateness_changes(job.deadlines, job.expected_run_s)
    if now + wait_s * urgent_factor <= late_from:
        return wait_s * urgent_factor
    return wait_s * room.arriving.delay_factor(
        now, capacity_millis=capacity, before=None
    )


def _first_reports_s(tables: Tables) -> float:
    """Return how long a new leader waits for its targets, in seconds.

    With the first few of hundreds of targets, it would refuse what all have room for.
    """
    settings = tables.settings
    return settings.directory_wait_s + settings.first_list_timeout_s


def _remaining_s(tables: Tables, target: Target, run: Run, now: float) -> float:
    """Return the remaining time of a run by its route and target, in seconds."""
    job = tables.jobs_by_id.get(run.ref.job_id)
    if job is None or run.group is None:
        return 0.0
    expected_s = tables.expected.expected_s(job.route.name, run.group.expected_run_s)
    expected_s *= target.speed.ratio * run.remote_factor
    if run.is_adopted:
        return expected_s * (1.0 - run.percent / 100)
    return max(0.0, run.started_at + expected_s - now)


def _room(forecast: ForecastState, service: str) -> RoomForecast:
    room = forecast.room_by_service.get(service)
    if room is None:
        room = forecast.room_by_service[service] = RoomForecast()
    return room
