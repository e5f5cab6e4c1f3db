"""What a caller got for one sending of a job."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from cassiaturn.entities import Answer, Outcome, Ran
from cassiaturn.load._plan import PlannedJob


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """One sending of a job and its answer; a job sent twice has two."""

    job: PlannedJob
    """The job."""

    submission_id: str
    """Its id, which both sendings share."""

    answer: Answer
    """What the caller got."""

    response_s: float
    """Time from the sending to the answer, in seconds."""

    is_first: bool
    """Whether this is the first sending."""

    @property
    def is_lost(self) -> bool:
        """Whether no instance answered in time.

        Instances say ``UNKNOWN`` with what may have run; the client that was
        told nothing leaves that open.
        """
        if self.answer.outcome is Outcome.PENDING:
            return True
        is_unknown = self.answer.outcome is Outcome.UNKNOWN
        return is_unknown and self.answer.ran is Ran.UNSPECIFIED


def write_answers(answers: Iterable[CallerAnswer], path: Path) -> None:
    """Write what callers got, one JSON object a line, to look at after a run.

    :param answers: every answer.
    :param path: the file.
    """
    with path.open("w") as file:
        for sending in answers:
            answer = sending.answer
            line = {
                "submission_id": sending.submission_id,
                "method": sending.job.method,
                "at_s": round(sending.job.at_s, 3),
                "instance": sending.job.instance,
                "is_first": sending.is_first,
                "response_s": round(sending.response_s, 4),
                "outcome": answer.outcome.name,
                "ran": answer.ran.name,
                "reason": answer.reason.name,
                "detail": answer.detail,
            }
            file.write(json.dumps(line) + "\n")
