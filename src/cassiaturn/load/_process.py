"""Processes that a run starts, and ends by their ids."""

import asyncio
import os
import signal
import time
from collections.abc import Sequence
from pathlib import Path

DRAIN_TIMEOUT_S = 35.0
"""Wait for a process to end under load: an instance may drain for 30 s."""

IDLE_END_TIMEOUT_S = 10.0
"""Wait for a process to end that has nothing in flight."""


class ChildProcess:
    """One process with its output in a file."""

    def __init__(self, *, name: str, arguments: Sequence[str], log: Path) -> None:
        """Prepare a process; :meth:`start` starts it.

        :param name: shown in messages.
        :param arguments: the program and its arguments.
        :param log: file for its output, appended to.
        """
        self.name = name
        self.killed_at_us: list[int] = []
        self._arguments = arguments
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Its process id; 0 before it was started."""
        return 0 if self._process is None else self._process.pid

    async def start(self) -> None:
        """Start it."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._arguments, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """End it at once, as a host that dies."""
        self._signal(signal.SIGKILL)
        self.killed_at_us.append(time.time_ns() // 1000)

    def pause(self) -> None:
        """Stop it without ending it, as a host that freezes."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self._signal(signal.SIGCONT)

    async def stop(self, *, timeout_s: float = IDLE_END_TIMEOUT_S) -> int | None:
        """Ask it to end and wait.

        :param timeout_s: longest wait, in seconds; then it is killed.
        :returns: its exit code; None where it had to be killed.
        """
        if self._process is None:
            return None
        if not self.is_running:
            return self._process.returncode
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self._signal(signal.SIGKILL)
            await self._process.wait()
            return None

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self.is_running:
            os.kill(self._process.pid, number)
