from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiaturn.entities import TaskKey
from cassiaturn.standins import BegunTask, RunStatus, TaskTable
from cassiaturn.v1 import runner_pb2 as pb

SLOTS = 2
LEASE_MS = 10
HOMES = ["home-a", "home-b"]

numbers = st.integers(min_value=0, max_value=3)
attempts = st.integers(min_value=1, max_value=3)
homes = st.sampled_from(HOMES)


class TaskTableMachine(RuleBasedStateMachine):
    """Any order of calls keeps slots, fences and single starts."""

    def __init__(self) -> None:
        super().__init__()
        self.table = TaskTable(slots=SLOTS, keep_acknowledged_ms=5)
        self.now_ms = 100
        self.begun: set[tuple[TaskKey, int]] = set()
        self.fenced: set[str] = set()

    @rule(number=numbers, attempt=attempts, home=homes)
    def start(self, number: int, attempt: int, home: str) -> None:
        key = TaskKey("s", number)
        was_running = key in self.table.running_by_key
        message = pb.StartTask(
            ref=pb.TaskRef(submission_id="s", index=number, attempt=attempt),
            home=home,
            start_by_ms=self.now_ms,
            lease_ms=LEASE_MS,
        )
        outcome = self.table.start(message, holder="holder", now_ms=self.now_ms)
        if isinstance(outcome, BegunTask):
            assert not was_running
            assert home not in self.fenced
            assert (key, attempt) not in self.begun
            self.begun.add((key, attempt))

    @rule(number=numbers)
    def end(self, number: int) -> None:
        self.table.end(TaskKey("s", number), status=RunStatus.DONE, now_ms=self.now_ms)

    @rule(number=numbers, attempt=attempts)
    def acknowledge(self, number: int, attempt: int) -> None:
        key = TaskKey("s", number)
        self.table.acknowledge(key, attempt=attempt, now_ms=self.now_ms)

    @rule(home=homes)
    def fence(self, home: str) -> None:
        self.fenced.add(home)
        self.table.fence(home)

    @rule(passed_ms=st.integers(min_value=1, max_value=20))
    def pass_time(self, passed_ms: int) -> None:
        self.now_ms += passed_ms
        for task in self.table.lapsed(now_ms=self.now_ms):
            self.table.end(task.key, status=RunStatus.LEASE_LAPSED, now_ms=self.now_ms)
        for key in self._forgotten():
            self.begun = {entry for entry in self.begun if entry[0] != key}

    @invariant()
    def slots_are_never_exceeded(self) -> None:
        assert len(self.table.running_by_key) <= SLOTS

    @invariant()
    def a_key_is_running_or_over(self) -> None:
        assert not self.table.running_by_key.keys() & self.table.over_by_key.keys()

    @invariant()
    def what_was_begun_is_remembered(self) -> None:
        known = self.table.running_by_key.keys() | self.table.over_by_key.keys()
        assert {key for key, _ in self.begun} == known

    def _forgotten(self) -> set[TaskKey]:
        before = set(self.table.over_by_key)
        self.table.forget_old(now_ms=self.now_ms)
        return before - set(self.table.over_by_key)


TaskTableMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestTaskTable = TaskTableMachine.TestCase
