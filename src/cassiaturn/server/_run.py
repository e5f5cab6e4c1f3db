"""Runs an instance as an operating-system process."""

import asyncio
import signal
from collections.abc import Callable
from enum import Enum, auto

import uvloop
from returns.result import Failure, Success

from cassiaturn.entities import Schema
from cassiaturn.observability import Event, HttpServer, log_event
from cassiaturn.server._instance import Instance
from cassiaturn.settings import InstanceSettings
from cassiaturn.submission import InvariantError

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_LISTEN = 6
EXIT_INVARIANT = 70


def run(settings: InstanceSettings) -> int:
    """Run an instance until SIGTERM, SIGINT or an operator's drain.

    :returns: the exit code of the process.
    """
    match Schema.load(settings.schemas):
        case Failure(errors):
            for error in errors:
                log_event(
                    Event.SETTINGS_INVALID, key=error.source, problem=error.problem
                )
            return EXIT_SETTINGS
        case Success(schema):
            pass
    log_event(Event.PROCESS_STARTING, instance=settings.instance_id)
    code = uvloop.run(_serve(settings, schema))
    log_event(Event.PROCESS_STOPPED, exit_code=code)
    return code


class _StopReason(Enum):
    """Why an instance stops serving."""

    STOP = auto()
    """A planned stop."""

    SUPERSEDED = auto()
    """Another instance took its submissions over; start a new incarnation."""

    BROKEN = auto()
    """An invariant was violated."""


async def _serve(settings: InstanceSettings, schema: Schema) -> int:
    stop = asyncio.Event()
    broken = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.set_exception_handler(_failure_handler(broken))
    while True:
        instance = Instance(settings=settings, schema=schema, stop_requested=stop)
        http = HttpServer(
            address=settings.http, source=instance, metrics=instance.metrics
        )
        try:
            http.start()
            await instance.start()
        except OSError as error:
            log_event(Event.LISTEN_FAILED, detail=str(error))
            return EXIT_LISTEN
        reason = await _wait_for_stop(instance, broken)
        if reason is _StopReason.BROKEN:
            return EXIT_INVARIANT
        await instance.stop()
        await http.close()
        # The last push blocks until its timeout if the metrics collector is gone.
        await asyncio.to_thread(instance.metrics.close)
        if reason is _StopReason.STOP:
            return EXIT_OK


async def _wait_for_stop(instance: Instance, broken: asyncio.Event) -> _StopReason:
    reasons_by_task = {
        asyncio.create_task(broken.wait()): _StopReason.BROKEN,
        asyncio.create_task(instance.stop_requested.wait()): _StopReason.STOP,
        asyncio.create_task(instance.superseded.wait()): _StopReason.SUPERSEDED,
    }
    done, _ = await asyncio.wait(reasons_by_task, return_when=asyncio.FIRST_COMPLETED)
    for task in reasons_by_task:
        task.cancel()
    return next(reason for task, reason in reasons_by_task.items() if task in done)


def _failure_handler(
    broken: asyncio.Event,
) -> Callable[[asyncio.AbstractEventLoop, dict[str, object]], None]:
    def on_failure(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        failure = context.get("exception")
        log_event(Event.INVARIANT_BROKEN, detail=repr(failure or context["message"]))
        if isinstance(failure, AssertionError | InvariantError):
            broken.set()

    return on_failure
