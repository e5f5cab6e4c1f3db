import asyncio
import socket
import threading
import time

import pytest

from cassiaturn.transport import answer_timeout
from cassiaturn.transport._patience import AnswerTimer

ANSWER = b"done"


def _answer_once(listener: socket.socket, asked: threading.Event) -> None:
    connection, _ = listener.accept()
    with connection:
        connection.recv(1)
        asked.set()
        # The asker's loop stands still by now, or will before this arrives.
        time.sleep(0.05)
        connection.sendall(ANSWER)


async def test_an_answer_that_came_while_the_process_stood_still_counts() -> None:
    """An order is sent, and the host takes the processor away for a second.

    The answer comes meanwhile, and lies unread as the timer fires. Counted as lost,
    the task would be stopped and started again for nothing.
    """
    asked = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = threading.Thread(target=_answer_once, args=(listener, asked))
        peer.start()
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"?")
        loop = asyncio.get_running_loop()

        def stand_still() -> None:
            asked.wait()
            time.sleep(1.0)

        loop.call_soon(stand_still)
        async with answer_timeout(0.5):
            assert await reader.read(len(ANSWER)) == ANSWER
        writer.close()
        peer.join()


async def test_an_answer_timer_lets_a_stalled_process_read_first() -> None:
    """The same stall, while a call waits on a connection that was open before."""
    asked = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = threading.Thread(target=_answer_once, args=(listener, asked))
        peer.start()
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[bytes] = loop.create_future()

        async def read() -> None:
            answer.set_result(await reader.read(len(ANSWER)))

        reading = asyncio.ensure_future(read())
        timer = AnswerTimer(answer=answer, timeout_s=0.3, loop=loop)
        writer.write(b"?")

        def stand_still() -> None:
            asked.wait()
            time.sleep(0.6)

        loop.call_soon(stand_still)
        assert await answer == ANSWER
        timer.cancel()
        await reading
        writer.close()
        peer.join()


async def test_without_an_answer_the_wait_ends() -> None:
    began_at = time.monotonic()
    with pytest.raises(TimeoutError):
        async with answer_timeout(0.05):
            await asyncio.sleep(30.0)
    assert time.monotonic() - began_at >= 0.05


async def test_a_wait_that_is_over_leaves_no_timer() -> None:
    reported: list[dict[str, object]] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: reported.append(context))
    async with answer_timeout(0.01):
        pass
    await asyncio.sleep(0.05)
    assert not reported


async def test_a_cancelled_wait_is_no_timeout() -> None:
    async def wait() -> None:
        async with answer_timeout(30.0):
            await asyncio.sleep(30.0)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
