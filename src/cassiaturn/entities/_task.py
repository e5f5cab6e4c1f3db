"""The identity of a task."""

from typing import NamedTuple


class TaskKey(NamedTuple):
    """Identifies one task of one submission; equal keys are the same task.

    Tables of tasks are keyed by it. It does not include the attempt: a second
    attempt of a repeatable task has the same key.
    """

    submission_id: str
    """Id of the submission: a ticket, or an id that the caller chose."""

    task_index: int
    """Position of the task in the submission, from 0."""
