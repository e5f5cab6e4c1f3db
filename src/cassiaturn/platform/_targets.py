"""Sends orders to the platform's runners, which cassiaturn calls targets."""

from collections.abc import Mapping
from http import HTTPStatus

from pydantic_core import ValidationError
from returns.result import Failure, Result, Success

from cassiaturn.entities import LeaseReport, StartAnswer, TaskRef
from cassiaturn.fleet import (
    Authority,
    CallProblem,
    Gone,
    NoAnswer,
    StartReply,
    Superseded,
)
from cassiaturn.platform._decode import decode_lease_report, encode_ref
from cassiaturn.platform._documents import ClockReply
from cassiaturn.transport.http_client import (
    CallFailure,
    ConnectionRefused,
    HttpClient,
    Reply,
)
from cassiaturn.workload import StartOrder

START_PATH = "/api/run-start"
STOP_PATH = "/api/run-stop"
RENEW_PATH = "/api/hold"

EXPECTED_TARGET_HEADER = "X-Cassiaturn-Expected-Instance"

MS_PER_S = 1000

_ANSWER_BY_REASON = {
    "fence": StartAnswer.SUPERSEDED,
    "old": StartAnswer.OUTDATED,
    "late": StartAnswer.LATE,
    "room": StartAnswer.NO_ROOM,
    "ticket": StartAnswer.NO_TICKET,
}

_ANSWER_BY_STATUS: Mapping[int, StartAnswer] = {
    HTTPStatus.OK: StartAnswer.STARTED,
    HTTPStatus.BAD_REQUEST: StartAnswer.INVALID,
    HTTPStatus.MISDIRECTED_REQUEST: StartAnswer.OTHER_LIFE,
    HTTPStatus.TOO_MANY_REQUESTS: StartAnswer.UNHEALTHY,
    HTTPStatus.SERVICE_UNAVAILABLE: StartAnswer.UNHEALTHY,
}


class RunnerCalls:
    """Sends orders to targets over the platform's HTTP API."""

    def __init__(self, *, client: HttpClient) -> None:
        self._client = client

    async def start(
        self,
        authority: Authority,
        order: StartOrder,
        *,
        lease_until_ms: int | None,
        timeout_s: float,
    ) -> StartReply:
        """Order the start of a run."""
        body = _order_fields(authority, order.ref, order.number)
        body["taskSpec"] = order.payload
        # End of the lease of all runs on the target, not the task's time limit.
        body["deadlineMs"] = lease_until_ms
        body["checkpoint"] = order.checkpoint or None
        body["ticket"] = order.ticket or None
        match await self._post(authority, START_PATH, body, timeout_s):
            case Success(reply):
                return _to_start_reply(reply)
            case Failure(ConnectionRefused()):
                return StartReply(answer=StartAnswer.UNREACHABLE)
        return StartReply(answer=StartAnswer.UNKNOWN)

    async def stop(
        self, authority: Authority, ref: TaskRef, number: int, *, timeout_s: float
    ) -> Result[int, CallProblem]:
        """Order the stop of a run."""
        body = _order_fields(authority, ref, number)
        replied = await self._post(authority, STOP_PATH, body, timeout_s)
        return _check_reply(replied).bind(_to_clock)

    async def renew(
        self,
        authority: Authority,
        *,
        ended_seen: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> Result[LeaseReport, CallProblem]:
        """Renew the lease of all runs on a target and return its list of runs.

        :param ended_seen: highest sequence number of an ended run that was received.
        :param lease_until_ms: end of the lease on the target's clock, in milliseconds.
        :param wait_s: how long the target may wait for a run to end before it answers,
            in seconds.
        """
        body: dict[str, object] = {
            "fencingToken": authority.token,
            # Acknowledges all ended runs up to this sequence number.
            "lastSeen": ended_seen,
            "waitMs": round(wait_s * MS_PER_S),
            "deadlineMs": lease_until_ms,
        }
        replied = await self._post(authority, RENEW_PATH, body, timeout_s)
        return _check_reply(replied).bind(_to_report)

    async def _post(
        self,
        authority: Authority,
        path: str,
        body: Mapping[str, object],
        timeout_s: float,
    ) -> Result[Reply, CallFailure]:
        return await self._client.call(
            "POST",
            authority.address,
            path,
            body={name: value for name, value in body.items() if value is not None},
            headers={EXPECTED_TARGET_HEADER: authority.target_id},
            timeout_s=timeout_s,
        )


def _order_fields(authority: Authority, ref: TaskRef, number: int) -> dict[str, object]:
    """Return the fields that all orders about a run share."""
    task = encode_ref(ref)
    return {"task": task, "run": number, "fencingToken": authority.token}


def _to_start_reply(reply: Reply) -> StartReply:
    document = _parse_answer(reply)
    if reply.status == HTTPStatus.CONFLICT:
        answer = _ANSWER_BY_REASON.get(document.reason, StartAnswer.INVALID)
    else:
        answer = _ANSWER_BY_STATUS.get(reply.status, StartAnswer.UNKNOWN)
    return StartReply(answer=answer, clock_ms=document.clock_ms)


def _check_reply(
    replied: Result[Reply, CallFailure],
) -> Result[Reply, CallProblem]:
    """Return the reply of an accepted order, or the problem with the call."""
    match replied:
        case Success(reply):
            if reply.status == HTTPStatus.OK:
                return Success(reply)
            if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
                return Failure(Gone(reason="other_life"))
            if (
                reply.status == HTTPStatus.CONFLICT
                and _parse_answer(reply).reason == "fence"
            ):
                return Failure(Superseded())
            return Failure(NoAnswer(detail=f"status {reply.status}"))
        case Failure(failure):
            # A refused connection does not prove that the target's process ended: a
            # network partition may refuse connections while tasks continue to run.
            return Failure(NoAnswer(detail=failure.detail))
    raise AssertionError("a result is a success or a failure")


def _to_report(reply: Reply) -> Result[LeaseReport, CallProblem]:
    report = decode_lease_report(reply.body)
    if report is None:
        return Failure(NoAnswer(detail="malformed list of runs"))
    return Success(report)


def _to_clock(reply: Reply) -> Result[int, CallProblem]:
    clock_ms = _parse_answer(reply).clock_ms
    if clock_ms is None:
        return Failure(NoAnswer(detail="malformed answer"))
    return Success(clock_ms)


def _parse_answer(reply: Reply) -> ClockReply:
    try:
        return ClockReply.model_validate_json(reply.body)
    except ValidationError:
        # Unhealthy targets answer with an empty body.
        return ClockReply()
