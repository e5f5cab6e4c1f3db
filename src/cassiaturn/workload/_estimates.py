"""Takes over the estimates of an earlier leader, and lists those of this one.

Load pattern: a change of leader while targets of different speeds are nearly full; see
`cassiaturn.sharing._estimate_summary`.
"""

from collections.abc import Iterable, Iterator
from itertools import islice

from cassiaturn.sharing import (
    Estimate,
    EstimateKey,
    EstimateKind,
    Learned,
    SpeedModel,
    own_effect,
)
from cassiaturn.workload._tables import Tables

MAX_TARGETS = 4_096
"""Number of targets whose effects are listed and taken over: three times the design
size."""

MAX_LABELS = 512
"""The same number of labels, of all services together."""

MAX_ROUTES = 512
"""The same number of routes."""

INHERITED_KEPT_S = 30.0
"""How long a new leader keeps the effects of targets that are not in its directory, in
seconds: each target writes its entry every 1.5 s."""


def list_estimates(tables: Tables, now: float) -> Iterator[Learned]:
    """Return all estimates that a leader has learned or taken over.

    Visits every target, so it runs at most once a second.

    :param now: time in seconds.
    """
    inherited = tables.inherited_effects_by_id
    if inherited and now - tables.began_at >= INHERITED_KEPT_S:
        inherited.clear()
    for target in islice(tables.targets_by_id.values(), MAX_TARGETS):
        own = target.speed.own
        key = EstimateKey(EstimateKind.TARGET, target.target_id)
        yield Learned(key, own.mean, own.variance)
    for target_id, effect in inherited.items():
        key = EstimateKey(EstimateKind.TARGET, target_id)
        yield Learned(key, effect.mean, effect.variance)
    yield from islice(_list_labels(tables), MAX_LABELS)
    for route, mean in islice(tables.expected.mean_log_by_route.items(), MAX_ROUTES):
        yield Learned(EstimateKey(EstimateKind.ROUTE, route), mean, 0.0)


def _list_labels(tables: Tables) -> Iterator[Learned]:
    for service, model in tables.speeds_by_service.items():
        for label, effect in model.effects_by_label.items():
            key = EstimateKey(EstimateKind.LABEL, label, service)
            yield Learned(key, effect.mean, effect.variance)


def restore_estimates(
    tables: Tables, estimates: Iterable[Estimate], now: float
) -> "list[Estimate]":
    """Start from the estimates of an earlier leader, with raised variances.

    What this leader has learned itself stays as it is.

    :param estimates: plausible estimates.
    :param now: time in seconds.
    :returns: the estimates that are used.
    """
    used = [estimate for estimate in estimates if _restore(tables, estimate, now)]
    if any(estimate.key.kind is EstimateKind.LABEL for estimate in used):
        for target in tables.targets_by_id.values():
            target.note_change()
    return used


def _restore(tables: Tables, estimate: Estimate, now: float) -> bool:
    key = estimate.key
    match key.kind:
        case EstimateKind.TARGET:
            return _restore_target(tables, estimate, now)
        case EstimateKind.LABEL:
            model = tables.speeds_by_service.setdefault(key.service, SpeedModel())
            return model.restore_label(
                key.name, estimate.mean, estimate.raised_variance(now)
            )
        case EstimateKind.ROUTE:
            return tables.expected.restore(
                key.name, estimate.mean, estimate.restored_runs(now)
            )


def _restore_target(tables: Tables, estimate: Estimate, now: float) -> bool:
    target_id = estimate.key.name
    inherited = tables.inherited_effects_by_id
    if target_id in tables.targets_by_id or len(inherited) >= MAX_TARGETS:
        return False
    effect = inherited.setdefault(target_id, own_effect())
    effect.restore(estimate.mean, estimate.raised_variance(now))
    return True
