"""Tests the jobs of a member's own callers across changes of leader."""

import asyncio
from dataclasses import dataclass, field, replace

import pytest

from cassiaturn.entities import JobRequest, Resources, TaskGroup
from cassiaturn.fleet import _caller_jobs
from cassiaturn.fleet._caller_jobs import CallerJobs, OpenJob
from cassiaturn.observability import FleetMetrics
from cassiaturn.sharing import _stuck_job
from cassiaturn.standins.virtual_targets import ROUTE
from cassiaturn.workload import CANCELLED, Outcome, Verdict

JOB_ID = "5c0e7a21d94b36f8"

REQUEST = JobRequest(
    job_id=JOB_ID,
    payload="work",
    groups=(TaskGroup(count=1, resources=Resources(cpu_millis=1_000)),),
    must_be_stored=False,
)


@dataclass(kw_only=True)
class _RecordingLeader:
    """Records the calls that it receives."""

    waits_for_confirmation: bool = True
    token: int = 1
    begun_earlier: list[bool] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    cancelled_by_caller: list[str] = field(default_factory=list)
    jobs: list[OpenJob] = field(default_factory=list)

    def submit(self, job: OpenJob, *, begun_earlier: bool) -> None:
        self.begun_earlier.append(begun_earlier)
        self.jobs.append(job)

    def cancel(self, job_id: str, *, by_caller: bool) -> None:
        (self.cancelled_by_caller if by_caller else self.cancelled).append(job_id)


def _caller_jobs_of(leader: _RecordingLeader) -> CallerJobs:
    caller_jobs = CallerJobs(metrics=FleetMetrics(member_name="m", failure_domain="a"))
    caller_jobs.attach(leader)
    return caller_jobs


async def _submit(
    caller_jobs: CallerJobs, limit_s: float = 1.5
) -> "asyncio.Task[Outcome]":
    waiting = asyncio.ensure_future(caller_jobs.submit(REQUEST, ROUTE, limit_s))
    await asyncio.sleep(0)
    return waiting


@pytest.mark.parametrize(
    ("waits", "is_confirmed", "begun_earlier"),
    [(True, False, False), (True, True, True), (False, False, True)],
)
async def test_next_leader_is_told_whether_a_job_may_have_started(
    waits: bool, is_confirmed: bool, begun_earlier: bool
) -> None:
    """Jobs in transit to a lost leader waited for leases of runs that never existed."""
    lost, successor = _RecordingLeader(waits_for_confirmation=waits), _RecordingLeader()
    caller_jobs = _caller_jobs_of(lost)
    waiting = await _submit(caller_jobs)
    if is_confirmed:
        assert caller_jobs.confirm(JOB_ID)
    caller_jobs.detach(lost)
    caller_jobs.attach(successor)
    assert successor.begun_earlier == [begun_earlier]
    waiting.cancel()


async def test_job_whose_caller_disconnected_is_not_confirmed() -> None:
    """A confirmed job would be started although no caller waits for it."""
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    waiting = await _submit(caller_jobs)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert leader.cancelled == [JOB_ID]
    assert not caller_jobs.confirm(JOB_ID)


@pytest.mark.parametrize(
    ("is_confirmed", "verdict"),
    [(False, Verdict.REFUSED), (True, Verdict.ABANDONED)],
)
async def test_only_a_job_that_never_started_is_refused_as_not_run(
    is_confirmed: bool, verdict: Verdict, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller was told that its job did not run although it did."""
    monkeypatch.setattr(_stuck_job, "STUCK_JOB_WAIT_S", 0.01)
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    waiting = await _submit(caller_jobs)
    if is_confirmed:
        caller_jobs.confirm(JOB_ID)
    caller_jobs.detach(leader)
    assert (await waiting).verdict is verdict


@pytest.mark.parametrize(("told_s", "limit_s"), [(4.0, 4.0), (0.5, 0.5)])
async def test_limit_is_the_one_that_the_caller_stated(
    told_s: float, limit_s: float
) -> None:
    """A leader was sent the route's timeout as the caller's limit."""
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    waiting = await _submit(caller_jobs, told_s)
    (job,) = leader.jobs
    assert job.limit_at - job.arrived_at == pytest.approx(limit_s)
    waiting.cancel()


@pytest.mark.parametrize("limit_s", [1.5, 6.0])
@pytest.mark.parametrize("has_had_leader", [True, False])
async def test_job_waits_for_a_successor_within_its_callers_limit(
    limit_s: float, has_had_leader: bool
) -> None:
    """Jobs were refused 0.35 s after a leader was lost; replacing it takes 0.5 s."""
    lost, successor = _RecordingLeader(), _RecordingLeader()
    caller_jobs = _caller_jobs_of(lost)
    if not has_had_leader:
        caller_jobs.detach(lost)
    waiting = await _submit(caller_jobs, limit_s)
    caller_jobs.detach(lost)
    await asyncio.sleep(0.7)
    caller_jobs.attach(successor)
    assert len(successor.jobs) == 1
    waiting.cancel()


@pytest.mark.parametrize(
    ("limit_s", "is_kept"),
    [(6.0, False), (0.6, True)],
)
async def test_leaderless_job_is_answered_while_its_caller_can_still_retry(
    limit_s: float, is_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A partitioned member kept jobs that other members could have served."""
    monkeypatch.setattr(_stuck_job, "STUCK_JOB_WAIT_S", 0.1)
    monkeypatch.setattr(_caller_jobs, "RECONNECT_WAIT_S", 0.1)
    leader, successor = _RecordingLeader(), _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    caller_jobs.detach(leader)
    waiting = await _submit(caller_jobs, limit_s)
    await asyncio.sleep(0.25)
    assert waiting.done() is not is_kept
    caller_jobs.attach(successor)
    assert len(successor.jobs) == is_kept
    waiting.cancel()


async def test_job_near_its_limit_survives_a_change_of_leader() -> None:
    """A planned change of leader ended all jobs that were past half of their limit."""
    request = replace(REQUEST, groups=(replace(REQUEST.groups[0], expected_run_s=1.0),))
    lost, successor = _RecordingLeader(waits_for_confirmation=False), _RecordingLeader()
    caller_jobs = _caller_jobs_of(lost)
    waiting = asyncio.ensure_future(
        caller_jobs.submit(request, ROUTE, 1.45, waited_s=0.98)
    )
    await asyncio.sleep(0)
    caller_jobs.detach(lost)
    await asyncio.sleep(0.1)
    caller_jobs.attach(successor)
    assert successor.begun_earlier == [True]
    waiting.cancel()


async def test_job_left_without_a_leader_is_cancelled_at_the_next_one() -> None:
    """A cancelled job kept running because its leader's stream had just broken."""
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    waiting = await _submit(caller_jobs)
    caller_jobs.detach(leader)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    caller_jobs.attach(leader)
    assert leader.cancelled == [JOB_ID]
    again = await _submit(caller_jobs)
    caller_jobs.detach(leader)
    caller_jobs.attach(leader)
    assert leader.cancelled == [JOB_ID]
    again.cancel()


async def test_a_job_that_its_caller_cancelled_stays_cancelled() -> None:
    """Guards against a copy of a cancelled job's request that runs the job.

    Each later leader is told, too: the copy may reach it by way of another member.
    """
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    waiting = await _submit(caller_jobs)
    caller_jobs.detach(leader)
    assert await caller_jobs.cancel(JOB_ID)
    assert await waiting == CANCELLED
    caller_jobs.attach(leader)
    assert leader.cancelled_by_caller == [JOB_ID]
    copy = await _submit(caller_jobs)
    assert await copy == CANCELLED
    caller_jobs.detach(leader)
    caller_jobs.attach(leader)
    assert leader.cancelled_by_caller == [JOB_ID, JOB_ID]
    assert leader.cancelled == []
    assert len(leader.jobs) == 1


async def test_request_with_a_longer_limit_extends_the_job_that_it_joins() -> None:
    """A caller resubmitted with a longer limit; its job ended at the first limit."""
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    first = await _submit(caller_jobs, 0.1)
    second = await _submit(caller_jobs, 5.0)
    await asyncio.sleep(0.4)
    assert not first.done()
    assert leader.jobs[-1].limit_at - leader.jobs[0].arrived_at > 4.0
    second.cancel()
    first.cancel()


@pytest.mark.parametrize(
    ("is_confirmed", "verdict"),
    [(False, Verdict.REFUSED), (True, Verdict.ABANDONED)],
)
async def test_every_open_job_is_answered_before_the_process_ends(
    is_confirmed: bool, verdict: Verdict
) -> None:
    """A graceful shutdown closed the connections of callers that still waited."""
    caller_jobs = _caller_jobs_of(_RecordingLeader())
    waiting = await _submit(caller_jobs, 60.0)
    if is_confirmed:
        caller_jobs.confirm(JOB_ID)
    caller_jobs.end_all("stopping")
    assert (await waiting).verdict is verdict
    assert not caller_jobs.open_jobs


async def test_member_refuses_the_share_of_its_priority_only() -> None:
    """Guards against a leader that must refuse the excess itself, two frames a job."""
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    caller_jobs.shed_by_priority = {ROUTE.priority: 1.0}
    refused = await caller_jobs.submit(REQUEST, ROUTE, 1.5)
    assert refused.verdict is Verdict.REFUSED
    assert refused.retry_after_s >= 1.0
    caller_jobs.shed_by_priority = {ROUTE.priority + 1: 1.0}
    caller_jobs.shed_share = 1.0
    waiting = await _submit(caller_jobs)
    assert len(leader.jobs) == 1
    waiting.cancel()


async def test_shares_of_a_lost_leader_no_longer_apply() -> None:
    """Guards against jobs refused for an overload of a leader that is gone."""
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    caller_jobs.shed_by_priority = {ROUTE.priority: 1.0}
    caller_jobs.detach(leader)
    waiting = await _submit(caller_jobs)
    assert not waiting.done()
    waiting.cancel()


async def test_a_job_that_comes_after_the_last_answers_is_refused_as_not_run() -> None:
    """Guards against jobs that are passed on and lose their connection unanswered."""
    leader = _RecordingLeader(waits_for_confirmation=False)
    caller_jobs = _caller_jobs_of(leader)
    waiting = await _submit(caller_jobs)
    caller_jobs.end_all("stopping")
    assert (await waiting).verdict is Verdict.ABANDONED
    outcome = await caller_jobs.submit(REQUEST, ROUTE, 1.5)
    assert outcome.verdict is Verdict.REFUSED
    assert outcome.retry_after_s > 0.0
    assert len(leader.jobs) == 1


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("has_leader", [True, False])
async def test_a_cancel_at_another_member_is_answered_by_the_leader(
    has_leader: bool, known: bool
) -> None:
    """Guards against "no such job" from a member that cannot know."""
    leader = _RecordingLeader()
    caller_jobs = _caller_jobs_of(leader)
    if not has_leader:
        caller_jobs.detach(leader)
    cancelling = asyncio.create_task(caller_jobs.cancel(JOB_ID))
    await asyncio.sleep(0.01)
    assert not cancelling.done()
    if not has_leader:
        caller_jobs.attach(leader)
    assert leader.cancelled_by_caller == [JOB_ID]
    caller_jobs.note_cancelled(JOB_ID, known=known)
    assert await cancelling is known


async def test_a_cancel_that_no_leader_answers_is_not_acknowledged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that take a job for cancelled which runs on."""
    monkeypatch.setattr(_caller_jobs, "CANCEL_ANSWER_S", 0.01)
    assert await _caller_jobs_of(_RecordingLeader()).cancel(JOB_ID) is None
