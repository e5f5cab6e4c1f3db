import asyncio
import gc

import pytest

from cassiaturn.transport import run_apart


async def _cancel_itself() -> None:
    task = asyncio.current_task()
    assert task is not None
    task.cancel()
    await asyncio.sleep(1.0)


async def test_a_call_that_its_stream_cancels_is_a_broken_connection() -> None:
    """A stream breaks while a loop waits on it, and grpclib cancels who waits.

    The loop must go on and connect again: taken for its own end, the process would
    live on and serve nobody.
    """
    for _ in range(3):
        with pytest.raises(ConnectionAbortedError):
            await run_apart(_cancel_itself())
    task = asyncio.current_task()
    assert task is not None
    assert task.cancelling() == 0


async def test_a_caller_that_is_cancelled_ends_the_call() -> None:
    ended = asyncio.Event()

    async def work() -> None:
        try:
            await asyncio.sleep(10.0)
        finally:
            ended.set()

    task = asyncio.create_task(run_apart(work()))
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert ended.is_set()


async def test_results_and_errors_pass_through() -> None:
    async def good() -> int:
        return 7

    async def bad() -> int:
        raise ValueError("wrong")

    assert await run_apart(good()) == 7
    with pytest.raises(ValueError, match="wrong"):
        await run_apart(bad())


@pytest.mark.parametrize("has_ended", [False, True])
async def test_a_connection_that_breaks_as_its_call_is_cancelled_is_no_fault(
    has_ended: bool,
) -> None:
    """A leader ends while a follower leaves it: the end of the stream fails as well.

    The follower's log must not report a fault of the program, on which an operator
    would act.
    """
    reported: list[dict[str, object]] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: reported.append(context))

    async def work() -> None:
        try:
            await (asyncio.sleep(0.0) if has_ended else asyncio.sleep(10.0))
        finally:
            raise ConnectionResetError("connection lost")

    task = asyncio.create_task(run_apart(work()))
    for _ in range(2):
        await asyncio.sleep(0.0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    del task
    gc.collect()
    await asyncio.sleep(0)
    assert not reported
