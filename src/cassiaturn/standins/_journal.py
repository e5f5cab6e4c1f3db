"""The journal of a runner: what it started, ended and refused."""

import json
import time
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from types import TracebackType

from pydantic import BaseModel

from cassiaturn.entities import TaskKey


class JournalEvent(StrEnum):
    """What a line of a journal tells."""

    STARTED = "started"
    ENDED = "ended"
    REFUSED = "refused"


class JournalEntry(BaseModel):
    """One line of a journal."""

    event: JournalEvent
    """What happened."""

    target_id: str
    """The runner."""

    submission_id: str
    """Submission of the task."""

    task_index: int
    """Position of the task in it."""

    attempt: int
    """Attempt that the holder gave."""

    home: str = ""
    """Incarnation of the home; started only."""

    outcome: str = ""
    """Name of the status or of the reason for the refusal."""

    run_ms: float = 0.0
    """Time the task ran, in milliseconds; ended only."""

    at_us: int
    """Wall clock, in microseconds since 1970."""

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.submission_id, self.task_index)


class Journal:
    """Appends entries to a file, one JSON object a line.

    Each line is handed to the operating system before the runner goes on: a
    runner that is killed has then recorded every start that had an effect.
    """

    __slots__ = ("_file",)

    def __init__(self, *, path: Path) -> None:
        """Open the file for appending.

        :param path: file shared with no other process.
        """
        self._file = path.open("ab", buffering=0)

    def __enter__(self) -> "Journal":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._file.close()

    def append(
        self,
        *,
        event: JournalEvent,
        target_id: str,
        key: TaskKey,
        attempt: int,
        home: str = "",
        outcome: str = "",
        run_ms: float = 0.0,
    ) -> None:
        """Write one entry with the present wall clock."""
        line = json.dumps(
            {
                "event": event.value,
                "target_id": target_id,
                "submission_id": key.submission_id,
                "task_index": key.task_index,
                "attempt": attempt,
                "home": home,
                "outcome": outcome,
                "run_ms": run_ms,
                "at_us": time.time_ns() // 1000,
            }
        )
        self._file.write(line.encode() + b"\n")


def read_journal(path: Path) -> Iterator[JournalEntry]:
    """Yield the entries of a journal, its torn last line left out.

    :param path: a file that :class:`Journal` wrote.
    """
    with path.open("rb") as file:
        for line in file:
            # A runner killed inside a write leaves a line without its end; the
            # start that it stood for had not happened yet.
            if line.endswith(b"\n"):
                yield JournalEntry.model_validate_json(line)
