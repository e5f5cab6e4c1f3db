"""Reports failures of background tasks."""

import asyncio


def report_failure(task: "asyncio.Task[None]") -> None:
    """Pass the exception of a background task to the event loop's handler at once.

    Nothing awaits such a task. Without this, a leader whose periodic tick has failed
    would enforce neither deadlines nor leases until the task is garbage collected, and
    its callers would wait in vain. The handler ends the process, and another member
    takes over.

    :param task: a task that is done.
    """
    if task.cancelled():
        return
    failure = task.exception()
    if failure is not None:
        task.get_loop().call_exception_handler(
            {"message": "a background task failed", "exception": failure, "task": task}
        )
