"""Outlier ejection: takes targets out of use that perform worse than their peers.

Load pattern: a target that is ten times slower than the others, a worker that
fails every task (and attracts more work because it fails quickly), or one that
recovers. Without ejection, a slow target with a share 1/n of the slots determines
the response time of nearly every job of n tasks, so nearly no job gets its ideal
response time.

Grounds: a target is compared only with its peers, so that a common cause (a hot
key, a slow store) ejects few or none. A target is slow if half of its last tasks
took several times the median run time of their method and that share is clearly
above its peers'; a few long tasks do not cause this. A running task counts as soon
as it is overdue, so a target that sends no results is evaluated too. What a target
reports about itself is not used, because it lags.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

from cassiaturn.entities import TaskKey
from cassiaturn.policy._settings import HealthSettings
from cassiaturn.policy._target_record import HealthState, Running, TargetRecord

_METHOD_WINDOW = 64
"""Last run times of a method that form its median, in tasks."""

_MIN_METHOD_RUNS = 8
"""Run times of a method that are needed before its median is used, in tasks."""


_MAX_DOUBLINGS = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthChange:
    """Change of a target's health state."""

    target_id: str
    """Id of the target."""

    state: HealthState
    """Its new state."""

    allowance: int
    """Slots that the target may use now."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Shares:
    slow: float
    """Share of slow tasks among the last results and the overdue tasks."""

    failed: float
    """Share of failures among the last results."""


class TargetHealth:
    """Health of the targets of one instance."""

    def __init__(self, *, settings: HealthSettings) -> None:
        self._settings = settings
        self._records_by_target: dict[str, TargetRecord] = {}
        self._runs_by_method: dict[str, deque[float]] = {}
        self._median_by_method: dict[str, float] = {}
        self._evaluated_at: float | None = None

    def reconfigure(self, settings: HealthSettings) -> None:
        """Replace the settings; learned run times and states are kept."""
        self._settings = settings

    def add(self, target_id: str, slots: int) -> None:
        """Add a target as healthy, or update the slots of a known one."""
        record = self._records_by_target.get(target_id)
        if record is not None:
            record.slots = slots
            return
        window = self._settings.window
        self._records_by_target[target_id] = TargetRecord(slots=slots, window=window)

    def remove(self, target_id: str) -> None:
        """Remove a target and its record."""
        self._records_by_target.pop(target_id, None)

    def state_of(self, target_id: str) -> HealthState:
        """Return the state of a target."""
        return self._records_by_target[target_id].state

    def started(self, target_id: str, key: TaskKey, method: str, now: float) -> None:
        """Record that a start was sent."""
        record = self._records_by_target.get(target_id)
        if record is not None:
            record.running_by_key[key] = Running(method=method, started_at=now)

    def finished(
        self,
        target_id: str,
        key: TaskKey,
        method: str,
        run_s: float,
        ok: bool,
        now: float,
    ) -> None:
        """Record the result of a task.

        :param run_s: time from sending the start to receiving the result, in
            seconds.
        :param ok: whether it succeeded.
        """
        record = self._records_by_target.get(target_id)
        if record is None:
            return
        record.running_by_key.pop(key, None)
        record.failures.append(not ok)
        if not ok:
            record.record_result(is_good=False)
            return
        self._runs_by_method.setdefault(method, deque(maxlen=_METHOD_WINDOW)).append(
            run_s
        )
        median_s = self._median_by_method.get(method)
        ratio = run_s / median_s if median_s else 1.0
        record.ratios.append(ratio)
        record.record_result(is_good=ratio < self._settings.slow_ratio)

    def refused(
        self, target_id: str, reason: object, now: float, key: TaskKey | None = None
    ) -> None:
        """Record a refused start, which says nothing about the target's speed.

        :param key: the task, which no longer counts as running.
        """
        record = self._records_by_target.get(target_id)
        if record is not None and key is not None:
            record.running_by_key.pop(key, None)

    def lost(self, target_id: str, now: float) -> None:
        """Record the loss of a target; its running tasks count as failed."""
        record = self._records_by_target.get(target_id)
        if record is None:
            return
        record.failures.extend([True] * len(record.running_by_key))
        record.running_by_key.clear()
        record.record_result(is_good=False)

    def tick(self, now: float) -> Sequence[HealthChange]:
        """Compare every target with its peers, at most once in ``tick_s``.

        :param now: present time, in seconds.
        :returns: the changes of state.
        """
        evaluated_at = self._evaluated_at
        if evaluated_at is not None and now - evaluated_at < self._settings.tick_s:
            return ()
        self._evaluated_at = now
        self._update_medians()
        return [*self._promote_recovered(now), *self._eject_bad(now)]

    def _update_medians(self) -> None:
        for method, runs in self._runs_by_method.items():
            if len(runs) >= _MIN_METHOD_RUNS:
                self._median_by_method[method] = median(runs)

    def _promote_recovered(self, now: float) -> Iterable[HealthChange]:
        settings = self._settings
        for target_id, record in self._records_by_target.items():
            if record.state is HealthState.EJECTED and now >= record.ejected_until:
                record.forget_results()
                yield _set_state(target_id, record, HealthState.PROBATION)
            elif (
                record.state is HealthState.PROBATION
                and record.good_in_row >= settings.probation_successes
            ):
                yield _set_state(target_id, record, HealthState.HEALTHY)

    def _eject_bad(self, now: float) -> Iterable[HealthChange]:
        ejections_left = self._ejections_left()
        for target_id, record in self._bad_records(now):
            # A cause common to many targets would otherwise eject them all, and
            # callers would be refused although the workers are slow but working.
            # The cap keeps the rest in use, however bad their results are. A
            # target on probation already counts towards the cap.
            if record.state is HealthState.HEALTHY:
                if ejections_left <= 0:
                    continue
                ejections_left -= 1
            self._eject(record, now)
            yield _set_state(target_id, record, HealthState.EJECTED)

    def _bad_records(self, now: float) -> Iterable[tuple[str, TargetRecord]]:
        shares_by_target = {
            target_id: self._shares(record, now)
            for target_id, record in self._records_by_target.items()
            if record.state is not HealthState.EJECTED
        }
        if not shares_by_target:
            return []
        medians = _Shares(
            slow=median(shares.slow for shares in shares_by_target.values()),
            failed=median(shares.failed for shares in shares_by_target.values()),
        )
        bad: list[tuple[float, str]] = []
        for target_id, shares in shares_by_target.items():
            if self._is_bad(self._records_by_target[target_id], shares, medians, now):
                bad.append((max(shares.slow, shares.failed), target_id))
        bad.sort(reverse=True)
        return [(target_id, self._records_by_target[target_id]) for _, target_id in bad]

    def _eject(self, record: TargetRecord, now: float) -> None:
        settings = self._settings
        duration_s = settings.ejection_s * float(
            1 << min(record.ejections, _MAX_DOUBLINGS)
        )
        record.ejected_until = now + min(duration_s, settings.max_ejection_s)
        record.ejections += 1

    def _ejections_left(self) -> int:
        targets = len(self._records_by_target)
        if targets < 2:
            return 0
        allowed = max(1, int(targets * self._settings.ejected_share))
        not_healthy = sum(
            record.state is not HealthState.HEALTHY
            for record in self._records_by_target.values()
        )
        return allowed - not_healthy

    def _shares(self, record: TargetRecord, now: float) -> _Shares:
        settings = self._settings
        overdue = self._overdue(record, now)
        slow = overdue + sum(ratio >= settings.slow_ratio for ratio in record.ratios)
        # Missing results count as good: otherwise a few tasks that happen to be
        # long would eject a target that has only just started.
        return _Shares(
            slow=slow / (overdue + settings.window), failed=record.failure_share()
        )

    def _is_bad(
        self, record: TargetRecord, shares: _Shares, medians: _Shares, now: float
    ) -> bool:
        settings = self._settings
        if record.state is HealthState.PROBATION:
            bad = self._overdue(record, now) + record.bad_in_row
            return bad >= settings.probation_failures
        is_slow = shares.slow >= max(
            settings.slow_share, medians.slow + settings.slow_margin
        )
        is_failing = shares.failed >= max(
            settings.failure_share, medians.failed + settings.failure_margin
        )
        return is_slow or (is_failing and sum(record.failures) >= settings.min_samples)

    def _overdue(self, record: TargetRecord, now: float) -> int:
        overdue = 0
        for running in record.running_by_key.values():
            median_s = self._median_by_method.get(running.method)
            if median_s is None:
                continue
            if now - running.started_at >= median_s * self._settings.slow_ratio:
                overdue += 1
        return overdue


def _set_state(
    target_id: str, record: TargetRecord, state: HealthState
) -> HealthChange:
    record.state = state
    return HealthChange(target_id=target_id, state=state, allowance=record.allowance)
