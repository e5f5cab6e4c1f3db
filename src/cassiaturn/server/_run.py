"""Runs an instance as a process."""

import asyncio
import signal

import uvloop
from returns.result import Failure, Success

from cassiaturn.entities import Schema
from cassiaturn.observability import Event, HttpServer, log_event
from cassiaturn.server._instance import Instance
from cassiaturn.settings import InstanceSettings

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


async def _serve(settings: InstanceSettings, schema: Schema) -> int:
    instance = Instance(settings=settings, schema=schema)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.stop_requested.set)
    broken = asyncio.Event()

    def on_failure(_: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        failure = context.get("exception")
        log_event(Event.INVARIANT_BROKEN, detail=repr(failure or context["message"]))
        if isinstance(failure, AssertionError):
            broken.set()

    loop.set_exception_handler(on_failure)
    metrics = instance.metrics
    http = HttpServer(address=settings.http, source=instance, metrics=metrics)
    try:
        http.start()
        await instance.start()
    except OSError as error:
        log_event(Event.LISTEN_FAILED, detail=str(error))
        return EXIT_LISTEN
    waits = [
        asyncio.create_task(instance.stop_requested.wait()),
        asyncio.create_task(broken.wait()),
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if broken.is_set():
        return EXIT_INVARIANT
    await instance.stop()
    await http.close()
    metrics.close()
    return EXIT_OK
