"""Ejection of targets that are worse than their peers.

Load pattern: a target ten times slower than the rest, a worker that fails
everything it starts (and, being quick at it, draws more work), one that
recovers. Without ejection a slow target with a share 1/n of the slots decides
the response time of nearly every job of n tasks; the ideal is lost for all.

Grounds: a target is compared with its peers only, so that a cause common to
all (a hot key, a slow store) ejects none. It is slow if half of its last tasks
took several times the median of their method, which a few long tasks do not
bring about. A running task counts as soon as it is overdue, so a target that
answers nothing is judged too. What a target reports of itself is not used: it
lags.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from statistics import median

from cassiaturn.entities import TaskKey
from cassiaturn.policy._settings import HealthSettings

_METHOD_WINDOW = 64
"""Run times of a method that its median is taken over, in tasks."""

_MIN_METHOD_RUNS = 8
"""Run times of a method before anything is compared with them, in tasks."""


_MAX_DOUBLINGS = 10


class HealthState(Enum):
    """How far a target is trusted."""

    HEALTHY = auto()
    """All its slots."""

    PROBATION = auto()
    """One slot, until it has proved itself."""

    EJECTED = auto()
    """No slot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthChange:
    """A target's state changed."""

    target_id: str
    """Which target."""

    state: HealthState
    """Its new state."""

    allowance: int
    """Slots it may use now."""


@dataclass(slots=True, kw_only=True)
class _Running:
    method: str
    started_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Verdict:
    is_slow: bool
    is_failing: bool
    badness: float
    """Order of ejection where the cap does not allow all."""


class _Record:
    """What was seen of one target."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "failures",
        "good_in_row",
        "ratios",
        "running_by_key",
        "slots",
        "state",
    )

    def __init__(self, *, slots: int, window: int) -> None:
        self.slots = slots
        self.state = HealthState.HEALTHY
        self.running_by_key: dict[TaskKey, _Running] = {}
        self.ratios: deque[float] = deque(maxlen=window)
        self.failures: deque[bool] = deque(maxlen=window)
        self.ejected_until = 0.0
        self.ejections = 0
        self.good_in_row = 0

    @property
    def allowance(self) -> int:
        """Slots that the state permits."""
        if self.state is HealthState.HEALTHY:
            return self.slots
        return 1 if self.state is HealthState.PROBATION else 0

    def failure_share(self) -> float:
        """Return the share of failures among the last results."""
        if not self.failures:
            return 0.0
        return sum(self.failures) / len(self.failures)


class TargetHealth:
    """Health of the targets of one instance."""

    def __init__(self, *, settings: HealthSettings) -> None:
        self._settings = settings
        self._records_by_target: dict[str, _Record] = {}
        self._runs_by_method: dict[str, deque[float]] = {}
        self._median_by_method: dict[str, float] = {}
        self._judged_at: float | None = None

    def reconfigure(self, settings: HealthSettings) -> None:
        """Put other tunables in force; what was learned is kept."""
        self._settings = settings

    def add(self, target_id: str, slots: int) -> None:
        """Take in a target, healthy until shown otherwise."""
        record = self._records_by_target.get(target_id)
        if record is not None:
            record.slots = slots
            return
        window = self._settings.window
        self._records_by_target[target_id] = _Record(slots=slots, window=window)

    def remove(self, target_id: str) -> None:
        """Forget a target."""
        self._records_by_target.pop(target_id, None)

    def state_of(self, target_id: str) -> HealthState:
        """Return the state of a target."""
        return self._records_by_target[target_id].state

    def started(self, target_id: str, key: TaskKey, method: str, now: float) -> None:
        """Take in that a start was sent."""
        record = self._records_by_target.get(target_id)
        if record is not None:
            record.running_by_key[key] = _Running(method=method, started_at=now)

    def finished(
        self,
        target_id: str,
        key: TaskKey,
        method: str,
        run_s: float,
        ok: bool,
        now: float,
    ) -> None:
        """Take in the end of a task.

        :param run_s: time from its start to its result as seen here, in seconds.
        :param ok: whether it succeeded.
        """
        record = self._records_by_target.get(target_id)
        if record is None:
            return
        record.running_by_key.pop(key, None)
        record.failures.append(not ok)
        if not ok:
            record.good_in_row = 0
            return
        self._runs_by_method.setdefault(method, deque(maxlen=_METHOD_WINDOW)).append(
            run_s
        )
        usual_s = self._median_by_method.get(method)
        ratio = run_s / usual_s if usual_s else 1.0
        record.ratios.append(ratio)
        is_good = ratio < self._settings.slow_ratio
        record.good_in_row = record.good_in_row + 1 if is_good else 0

    def refused(
        self, target_id: str, reason: object, now: float, key: TaskKey | None = None
    ) -> None:
        """Take in a refused start; it says nothing about speed.

        :param key: the task, so that it no longer counts as running.
        """
        record = self._records_by_target.get(target_id)
        if record is not None and key is not None:
            record.running_by_key.pop(key, None)

    def lost(self, target_id: str, now: float) -> None:
        """Take in that the target went away with what it ran."""
        record = self._records_by_target.get(target_id)
        if record is None:
            return
        record.failures.extend([True] * len(record.running_by_key))
        record.running_by_key.clear()
        record.good_in_row = 0

    def tick(self, now: float) -> Sequence[HealthChange]:
        """Judge every target against its peers.

        :param now: present time, in seconds.
        :returns: the targets whose state changed.
        """
        judged_at = self._judged_at
        if judged_at is not None and now - judged_at < self._settings.tick_s:
            return ()
        self._judged_at = now
        self._update_medians()
        return [*self._release(now), *self._demote(now)]

    def _update_medians(self) -> None:
        for method, runs in self._runs_by_method.items():
            if len(runs) >= _MIN_METHOD_RUNS:
                self._median_by_method[method] = median(runs)

    def _release(self, now: float) -> Iterable[HealthChange]:
        settings = self._settings
        for target_id, record in self._records_by_target.items():
            if record.state is HealthState.EJECTED and now >= record.ejected_until:
                record.ratios.clear()
                record.failures.clear()
                record.good_in_row = 0
                yield _move(target_id, record, HealthState.PROBATION)
            elif (
                record.state is HealthState.PROBATION
                and record.good_in_row >= settings.probation_successes
            ):
                yield _move(target_id, record, HealthState.HEALTHY)

    def _demote(self, now: float) -> Iterable[HealthChange]:
        room = self._room()
        if room <= 0:
            return
        usual_failures = median(
            record.failure_share() for record in self._records_by_target.values()
        )
        bad: list[tuple[float, str, _Record]] = []
        for target_id, record in self._records_by_target.items():
            if record.state is HealthState.EJECTED:
                continue
            verdict = self._judge(record, usual_failures, now)
            if verdict.is_slow or verdict.is_failing:
                bad.append((verdict.badness, target_id, record))
        bad.sort(key=lambda item: item[:2], reverse=True)
        for _, target_id, record in bad:
            on_probation = record.state is HealthState.PROBATION
            if not on_probation:
                # A cause common to many targets would empty the pool: callers
                # would see refusals on workers that are slow but working. The
                # cap keeps the rest in use, whatever they look like.
                if room <= 0:
                    continue
                room -= 1
            self._eject(record, now)
            yield _move(target_id, record, HealthState.EJECTED)

    def _eject(self, record: _Record, now: float) -> None:
        settings = self._settings
        duration_s = settings.ejection_s * float(
            1 << min(record.ejections, _MAX_DOUBLINGS)
        )
        record.ejected_until = now + min(duration_s, settings.max_ejection_s)
        record.ejections += 1

    def _room(self) -> int:
        targets = len(self._records_by_target)
        if targets < 2:
            return 0
        allowed = max(1, int(targets * self._settings.ejected_share))
        taken = sum(
            record.state is not HealthState.HEALTHY
            for record in self._records_by_target.values()
        )
        return allowed - taken

    def _judge(self, record: _Record, usual_failures: float, now: float) -> _Verdict:
        settings = self._settings
        share = record.failure_share()
        is_failing = (
            len(record.failures) >= settings.min_samples
            and share >= settings.failure_share
            and share >= usual_failures + settings.failure_margin
        )
        slow_share = self._slow_share(record, now)
        return _Verdict(
            is_slow=slow_share >= settings.slow_share,
            is_failing=is_failing,
            badness=max(slow_share, share),
        )

    def _slow_share(self, record: _Record, now: float) -> float:
        settings = self._settings
        overdue = self._overdue(record, now)
        slow = overdue + sum(ratio >= settings.slow_ratio for ratio in record.ratios)
        if slow < settings.min_samples:
            return 0.0
        return slow / (overdue + len(record.ratios))

    def _overdue(self, record: _Record, now: float) -> int:
        overdue = 0
        for running in record.running_by_key.values():
            usual_s = self._median_by_method.get(running.method)
            if usual_s is None:
                continue
            if now - running.started_at >= usual_s * self._settings.slow_ratio:
                overdue += 1
        return overdue


def _move(target_id: str, record: _Record, state: HealthState) -> HealthChange:
    record.state = state
    return HealthChange(target_id=target_id, state=state, allowance=record.allowance)
