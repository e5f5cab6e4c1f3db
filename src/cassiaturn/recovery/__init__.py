"""What becomes of the submissions of an instance that is gone."""

from cassiaturn.entities import RunStatus
from cassiaturn.recovery._begun import Begun, FenceReport
from cassiaturn.recovery._decision import (
    Adopt,
    AwaitRunning,
    FailTask,
    RunAfter,
    RunGround,
    RunNow,
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
from cassiaturn.recovery._rows import TAKEOVER_PREFIX, TakeoverRow, takeover_key
from cassiaturn.recovery._settings import RecoverySettings
from cassiaturn.recovery._submission import (
    Resume,
    SubmissionDecision,
    TellCaller,
    decide_submission,
    decide_unseen,
)
from cassiaturn.recovery._takeover import TakeoverTable

__all__ = [
    "TAKEOVER_PREFIX",
    "Adopt",
    "AwaitRunning",
    "Begun",
    "FailTask",
    "FenceDue",
    "FenceReport",
    "FenceState",
    "HoldState",
    "PauseDetector",
    "RecoverySettings",
    "Resume",
    "RunAfter",
    "RunGround",
    "RunNow",
    "RunStatus",
    "SubmissionDecision",
    "Takeover",
    "TakeoverPhase",
    "TakeoverRow",
    "TakeoverTable",
    "TaskDecision",
    "TellCaller",
    "Undetermined",
    "decide_submission",
    "decide_task",
    "decide_unseen",
    "takeover_key",
]
