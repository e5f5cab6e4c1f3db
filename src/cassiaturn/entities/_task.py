"""The identity of a task."""

from typing import NamedTuple


class TaskKey(NamedTuple):
    """Names one task of one submission; equal keys are the same task.

    Use it as the key of every table of tasks. Attempts are no part of it: a
    second attempt of a repeatable task keeps its key.
    """

    submission_id: str
    """Id of the submission: a ticket, or the caller's own choice."""

    task_index: int
    """Position of the task in the submission, from 0."""
