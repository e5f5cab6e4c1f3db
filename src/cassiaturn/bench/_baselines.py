"""Dispatchers to compare with: random, power of two choices, central FIFO."""

import random
from abc import abstractmethod
from collections import defaultdict, deque

from cassiaturn.bench._dispatcher import Dispatcher, dispatcher
from cassiaturn.bench._message import MessageKind
from cassiaturn.bench._runner import FakeRunner, JobRun, Start
from cassiaturn.bench._world import World
from cassiaturn.entities import Outcome

CHOICE_SEED = 7


class _Baseline(Dispatcher):
    """What the baselines share: no refusal, no retry, results to the instance."""

    def __init__(self, *, world: World) -> None:
        super().__init__(world=world)
        self._starts_by_job: dict[str, list[tuple[FakeRunner, Start]]] = defaultdict(
            list
        )

    def submit(self, run: JobRun) -> None:
        for index in range(len(run.job.run_s)):
            self._place(Start(run=run, index=index))

    def withdraw(self, run: JobRun) -> None:
        for runner, start in self._starts_by_job.pop(run.job.submission_id, ()):
            runner.stop(start)

    @abstractmethod
    def _place(self, start: Start) -> None:
        """Choose where a task goes."""

    def _home_domain(self, start: Start) -> str:
        return self.world.deployment.domain_of(start.run.job.instance)

    def _send_to(self, runner: FakeRunner, start: Start) -> None:
        if start.run.outcome is not None:
            return
        self._starts_by_job[start.run.job.submission_id].append((runner, start))
        self.world.send(
            MessageKind.START,
            self._home_domain(start),
            runner.failure_domain,
            runner.enqueue,
            start,
            self._on_end,
        )

    def _on_end(
        self, runner: FakeRunner, start: Start, succeeded: bool, run_s: float
    ) -> None:
        self.world.send(
            MessageKind.RESULT,
            runner.failure_domain,
            self._home_domain(start),
            self._take_result,
            start,
            succeeded,
            run_s,
        )

    def _take_result(self, start: Start, succeeded: bool, run_s: float) -> None:
        run = start.run
        if run.outcome is not None:
            return
        if not succeeded:
            self.world.answer(run, Outcome.FAILED)
            self.withdraw(run)
        elif self.world.has_result(start, run_s):
            self._starts_by_job.pop(run.job.submission_id, None)


@dispatcher("random")
class RandomPlacement(_Baseline):
    """Sends each task to a random target, whose queue it waits in."""

    def __init__(self, *, world: World) -> None:
        super().__init__(world=world)
        self._rng = random.Random(CHOICE_SEED)

    def _place(self, start: Start) -> None:
        self._send_to(self._rng.choice(self.world.runners), start)


@dispatcher("power-of-two")
class PowerOfTwoChoices(_Baseline):
    """Asks two random targets for their load and takes the less loaded."""

    def __init__(self, *, world: World) -> None:
        super().__init__(world=world)
        self._rng = random.Random(CHOICE_SEED)

    def _place(self, start: Start) -> None:
        pair = self._rng.sample(self.world.runners, 2)
        loads: list[tuple[int, FakeRunner]] = []
        for runner in pair:
            self.world.send(
                MessageKind.PROBE,
                self._home_domain(start),
                runner.failure_domain,
                self._answer_probe,
                runner,
                start,
                loads,
            )

    def _answer_probe(
        self, runner: FakeRunner, start: Start, loads: list[tuple[int, FakeRunner]]
    ) -> None:
        self.world.send(
            MessageKind.PROBE,
            runner.failure_domain,
            self._home_domain(start),
            self._take_probe,
            (runner.load, runner),
            start,
            loads,
        )

    def _take_probe(
        self,
        reply: tuple[int, FakeRunner],
        start: Start,
        loads: list[tuple[int, FakeRunner]],
    ) -> None:
        loads.append(reply)
        if len(loads) == 2:
            self._send_to(min(loads, key=lambda item: item[0])[1], start)


@dispatcher("central-fifo")
class CentralFifo(_Baseline):
    """Sends every task through one process that knows every slot."""

    def __init__(self, *, world: World) -> None:
        super().__init__(world=world)
        self._domain = world.deployment.domain_of(0)
        self._waiting: deque[Start] = deque()
        self._free_by_index = {runner.index: runner.slots for runner in world.runners}

    def _place(self, start: Start) -> None:
        self.world.send(
            MessageKind.FORWARD,
            self._home_domain(start),
            self._domain,
            self._queue,
            start,
        )

    def _queue(self, start: Start) -> None:
        self._waiting.append(start)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting:
            index, free = max(self._free_by_index.items(), key=lambda item: item[1])
            if free == 0:
                return
            start = self._waiting.popleft()
            if start.run.outcome is None:
                self._start_on(self.world.runners[index], start)

    def _start_on(self, runner: FakeRunner, start: Start) -> None:
        self._free_by_index[runner.index] -= 1
        self._starts_by_job[start.run.job.submission_id].append((runner, start))
        self.world.send(
            MessageKind.START,
            self._domain,
            runner.failure_domain,
            runner.enqueue,
            start,
            self._on_end,
        )

    def _on_end(
        self, runner: FakeRunner, start: Start, succeeded: bool, run_s: float
    ) -> None:
        self.world.send(
            MessageKind.RESULT,
            runner.failure_domain,
            self._domain,
            self._pass_result,
            runner,
            start,
            succeeded,
            run_s,
        )

    def _pass_result(
        self, runner: FakeRunner, start: Start, succeeded: bool, run_s: float
    ) -> None:
        self._free_by_index[runner.index] += 1
        self._start_waiting()
        self.world.send(
            MessageKind.FORWARD,
            self._domain,
            self._home_domain(start),
            self._take_result,
            start,
            succeeded,
            run_s,
        )

    def withdraw(self, run: JobRun) -> None:
        for runner, start in self._starts_by_job.pop(run.job.submission_id, ()):
            if start.is_over:
                continue
            runner.stop(start)
            self._free_by_index[runner.index] += 1
        self._start_waiting()


@dispatcher("exact-fifo")
class ExactFifo(CentralFifo):
    """One queue in order of arrival, with no message between it and a slot."""

    is_one_place = True
