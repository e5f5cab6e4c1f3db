import pytest

from cassiaturn.entities import TaskKey
from cassiaturn.standins import BegunTask, Refusal, RunStatus, TaskTable
from cassiaturn.v1 import runner_pb2 as pb

NOW_MS = 1_000_000
LEASE_MS = 500
KEY = TaskKey("s", 0)


def start(
    *, key: TaskKey = KEY, attempt: int = 1, home: str = "home", late_ms: int = 0
) -> pb.StartTask:
    return pb.StartTask(
        ref=pb.TaskRef(
            submission_id=key.submission_id, index=key.task_index, attempt=attempt
        ),
        method="m",
        home=home,
        start_by_ms=NOW_MS - late_ms,
        lease_ms=LEASE_MS,
    )


def begin(table: TaskTable, message: pb.StartTask) -> BegunTask | Refusal:
    return table.start(message, holder="holder", now_ms=NOW_MS)


def run_to_end(table: TaskTable, message: pb.StartTask) -> None:
    task = begin(table, message)
    assert isinstance(task, BegunTask)
    table.end(task.key, status=RunStatus.DONE, now_ms=NOW_MS)


@pytest.mark.parametrize(
    ("table", "message", "expected"),
    [
        (TaskTable(methods=frozenset({"other"})), start(), Refusal.UNSUPPORTED),
        (TaskTable(fenced_homes={"home"}), start(), Refusal.FENCED),
        (TaskTable(leaving=True), start(), Refusal.LEAVING),
        (TaskTable(), start(late_ms=1), Refusal.LATE),
        (TaskTable(slots=0), start(), Refusal.BUSY),
    ],
)
def test_refusals(table: TaskTable, message: pb.StartTask, expected: Refusal) -> None:
    assert begin(table, message) is expected
    assert not table.running_by_key


@pytest.mark.parametrize(
    ("is_over", "acknowledged", "attempt", "refused"),
    [
        (False, False, 1, True),
        (False, False, 2, True),
        (True, False, 1, True),
        (True, False, 2, False),
        (True, True, 1, True),
        (True, True, 2, False),
    ],
)
def test_second_start_of_a_key(
    is_over: bool, acknowledged: bool, attempt: int, refused: bool
) -> None:
    """A start arrives twice, or a retry arrives.

    The runner refuses what it has begun before, also after the result was
    taken; only a higher attempt of a run that is over may run.
    """
    table = TaskTable()
    assert isinstance(begin(table, start()), BegunTask)
    if is_over:
        table.end(KEY, status=RunStatus.FAILED, now_ms=NOW_MS)
    if acknowledged:
        table.acknowledge(KEY, attempt=1, now_ms=NOW_MS)
    outcome = begin(table, start(attempt=attempt))
    assert (outcome is Refusal.DUPLICATE) == refused


def test_lease_lapses_unless_renewed() -> None:
    table = TaskTable()
    begin(table, start())
    assert not table.lapsed(now_ms=NOW_MS + LEASE_MS)
    table.renew(KEY, attempt=1, now_ms=NOW_MS + LEASE_MS)
    assert not table.lapsed(now_ms=NOW_MS + LEASE_MS + 1)
    table.renew(KEY, attempt=9, now_ms=NOW_MS + 2 * LEASE_MS)
    lapsed = table.lapsed(now_ms=NOW_MS + 2 * LEASE_MS + 1)
    assert [task.key for task in lapsed] == [KEY]


def test_fence_tells_running_and_ended_tasks_of_that_home_only() -> None:
    table = TaskTable()
    run_to_end(table, start(key=TaskKey("ended", 0)))
    begin(table, start(key=TaskKey("running", 0)))
    begin(table, start(key=TaskKey("other", 0), home="other"))
    table.fence("home")
    fenced = table.begun_of("home", about=(), lease_ms=2 * LEASE_MS, now_ms=NOW_MS)
    begun = {task.key.submission_id: task.status for task in fenced}
    assert begun == {"ended": RunStatus.DONE, "running": RunStatus.RUNNING}
    assert table.is_exhaustive_for("home")
    lapsed = table.lapsed(now_ms=NOW_MS + 2 * LEASE_MS)
    assert [task.key.submission_id for task in lapsed] == ["other"]


def test_forgetting_too_early_makes_the_fence_inexhaustive() -> None:
    """A runner's memory is full and it forgets a task before its time.

    A successor that is told "nothing else was begun" would run that task a
    second time; so the reply says that it is not exhaustive.
    """
    table = TaskTable(remembered_tasks=1)
    run_to_end(table, start(key=TaskKey("first", 0)))
    run_to_end(table, start(key=TaskKey("second", 0)))
    assert not table.is_exhaustive_for("home")
    assert table.is_exhaustive_for("other")


def test_acknowledged_task_is_kept_for_its_time() -> None:
    table = TaskTable(keep_acknowledged_ms=100)
    run_to_end(table, start())
    table.acknowledge(KEY, attempt=1, now_ms=NOW_MS)
    assert not list(table.unacknowledged_of("holder"))
    table.forget_old(now_ms=NOW_MS + 99)
    assert begin(table, start()) is Refusal.DUPLICATE
    table.forget_old(now_ms=NOW_MS + 100)
    assert not table.over_by_key
    assert table.is_exhaustive_for("home")
