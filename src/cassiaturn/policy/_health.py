"""Ejection of targets that are worse than their peers.

Load pattern: a target ten times slower than the rest, a worker that fails
everything it starts (and, being quick at it, draws more work), one that
recovers. Without ejection a slow target with a share 1/n of the slots decides
the response time of nearly every job of n tasks; the ideal is lost for all.

Grounds: a target is compared with its peers only, so that a cause common to
all (a hot key, a slow store) ejects few or none. It is slow if half of its last
tasks took several times the median of their method, and clearly more of them
than at its peers, which a few long tasks do not bring about. A running task
counts as soon as it is overdue, so a target that answers nothing is judged too.
What a target reports of itself is not used: it lags.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

from cassiaturn.entities import TaskKey
from cassiaturn.policy._settings import HealthSettings
from cassiaturn.policy._target_record import HealthState, Running, TargetRecord

_METHOD_WINDOW = 64
"""Run times of a method that its median is taken over, in tasks."""

_MIN_METHOD_RUNS = 8
"""Run times of a method before anything is compared with them, in tasks."""


_MAX_DOUBLINGS = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthChange:
    """A target's state changed."""

    target_id: str
    """Which target."""

    state: HealthState
    """Its new state."""

    allowance: int
    """Slots it may use now."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Shares:
    slow: float
    """Share of slow tasks among the last results and what is running."""

    failed: float
    """Share of failures among the last results."""


class TargetHealth:
    """Health of the targets of one instance."""

    def __init__(self, *, settings: HealthSettings) -> None:
        self._settings = settings
        self._records_by_target: dict[str, TargetRecord] = {}
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
        self._records_by_target[target_id] = TargetRecord(slots=slots, window=window)

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
            record.count(is_good=False)
            return
        self._runs_by_method.setdefault(method, deque(maxlen=_METHOD_WINDOW)).append(
            run_s
        )
        usual_s = self._median_by_method.get(method)
        ratio = run_s / usual_s if usual_s else 1.0
        record.ratios.append(ratio)
        record.count(is_good=ratio < self._settings.slow_ratio)

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
        record.count(is_good=False)

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
                record.forget_results()
                yield _move(target_id, record, HealthState.PROBATION)
            elif (
                record.state is HealthState.PROBATION
                and record.good_in_row >= settings.probation_successes
            ):
                yield _move(target_id, record, HealthState.HEALTHY)

    def _demote(self, now: float) -> Iterable[HealthChange]:
        room = self._room()
        for target_id, record in self._bad_records(now):
            # A cause common to many targets would empty the pool: callers would
            # see refusals on workers that are slow but working. The cap keeps the
            # rest in use, whatever they look like. A target on probation is in
            # the cap's count already.
            if record.state is HealthState.HEALTHY:
                if room <= 0:
                    continue
                room -= 1
            self._eject(record, now)
            yield _move(target_id, record, HealthState.EJECTED)

    def _bad_records(self, now: float) -> Iterable[tuple[str, TargetRecord]]:
        shares_by_target = {
            target_id: self._shares(record, now)
            for target_id, record in self._records_by_target.items()
            if record.state is not HealthState.EJECTED
        }
        if not shares_by_target:
            return []
        usual = _Shares(
            slow=median(shares.slow for shares in shares_by_target.values()),
            failed=median(shares.failed for shares in shares_by_target.values()),
        )
        bad: list[tuple[float, str]] = []
        for target_id, shares in shares_by_target.items():
            if self._is_bad(self._records_by_target[target_id], shares, usual, now):
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

    def _shares(self, record: TargetRecord, now: float) -> _Shares:
        settings = self._settings
        overdue = self._overdue(record, now)
        slow = overdue + sum(ratio >= settings.slow_ratio for ratio in record.ratios)
        # Results that are not there count as good: a few tasks that happen to be
        # long would otherwise eject a target that has just begun.
        return _Shares(
            slow=slow / (overdue + settings.window), failed=record.failure_share()
        )

    def _is_bad(
        self, record: TargetRecord, shares: _Shares, usual: _Shares, now: float
    ) -> bool:
        settings = self._settings
        if record.state is HealthState.PROBATION:
            bad = self._overdue(record, now) + record.bad_in_row
            return bad >= settings.probation_failures
        is_slow = shares.slow >= max(
            settings.slow_share, usual.slow + settings.slow_margin
        )
        is_failing = shares.failed >= max(
            settings.failure_share, usual.failed + settings.failure_margin
        )
        return is_slow or (is_failing and sum(record.failures) >= settings.min_samples)

    def _overdue(self, record: TargetRecord, now: float) -> int:
        overdue = 0
        for running in record.running_by_key.values():
            usual_s = self._median_by_method.get(running.method)
            if usual_s is None:
                continue
            if now - running.started_at >= usual_s * self._settings.slow_ratio:
                overdue += 1
        return overdue


def _move(target_id: str, record: TargetRecord, state: HealthState) -> HealthChange:
    record.state = state
    return HealthChange(target_id=target_id, state=state, allowance=record.allowance)
