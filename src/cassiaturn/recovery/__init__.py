"""Takes over the submissions of an instance that is gone.

The home of a submission is the incarnation (one process of an instance) that accepted
it. When the home is gone, a row in the table service makes one other incarnation its
successor. The successor fences every target: the target refuses further starts by the
home and reports the runs that it began. From these reports the successor decides on
each task.
"""

from cassiaturn.entities import RunStatus
from cassiaturn.recovery._decision import (
    Adopt,
    AwaitRunning,
    FailTask,
    RunAfter,
    RunNow,
    RunProof,
    TaskDecision,
    Undetermined,
    decide_task,
)
from cassiaturn.recovery._pause import HoldState, PauseDetector
from cassiaturn.recovery._progress import (
    FenceDue,
    FenceState,
    Takeover,
    TakeoverPhase,
)
from cassiaturn.recovery._reported_run import FenceReport, ReportedRun
from cassiaturn.recovery._rows import TAKEOVER_PREFIX, TakeoverRow, takeover_key
from cassiaturn.recovery._settings import RecoverySettings
from cassiaturn.recovery._submission import (
    AnswerCaller,
    Resume,
    SubmissionDecision,
    decide_submission,
    decide_without_tasks,
)
from cassiaturn.recovery._takeover import TakeoverTable

__all__ = [
    "TAKEOVER_PREFIX",
    "Adopt",
    "AnswerCaller",
    "AwaitRunning",
    "FailTask",
    "FenceDue",
    "FenceReport",
    "FenceState",
    "HoldState",
    "PauseDetector",
    "RecoverySettings",
    "ReportedRun",
    "Resume",
    "RunAfter",
    "RunNow",
    "RunProof",
    "RunStatus",
    "SubmissionDecision",
    "Takeover",
    "TakeoverPhase",
    "TakeoverRow",
    "TakeoverTable",
    "TaskDecision",
    "Undetermined",
    "decide_submission",
    "decide_task",
    "decide_without_tasks",
    "takeover_key",
]
