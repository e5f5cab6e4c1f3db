"""Converts estimates to the members' messages and back.

An entry with nonsensical values is left out and counted: one that is not finite would
spread to every decision that uses it.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from cassiaturn.sharing import Estimate, EstimateKey, EstimateKind
from cassiaturn.v1 import fleet_pb2 as pb

EFFECT_UNITS = 100
"""Units of an effect in a message per unit of the logarithm: ten in a speed step."""

VARIANCE_UNITS = 10_000
"""Units of a variance in a message per unit."""

MILLISECONDS = 1000

MAX_NAME_LENGTH = 200
"""Maximum length of a target id, label, service or route, in characters."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadEstimates:
    """What a message tells."""

    estimates: tuple[Estimate, ...]
    """Estimates with plausible values."""

    gone: tuple[EstimateKey, ...]
    """Keys of targets that left the directory."""

    ignored: int
    """Number of entries with nonsensical values."""


def put_estimate(message: pb.Estimates, estimate: Estimate, now: float) -> None:
    """Add an estimate to a message.

    :param now: monotonic time in seconds.
    """
    key = estimate.key
    age_ms = max(0, round((now - estimate.learned_at) * MILLISECONDS))
    match key.kind:
        case EstimateKind.TARGET:
            message.targets.add(
                target_id=key.name,
                effect=round(estimate.mean * EFFECT_UNITS),
                variance=_to_units(estimate.variance),
                age_ms=age_ms,
            )
        case EstimateKind.LABEL:
            message.labels.add(
                service=key.service,
                label=key.name,
                effect=round(estimate.mean * EFFECT_UNITS),
                variance=_to_units(estimate.variance),
                age_ms=age_ms,
            )
        case EstimateKind.ROUTE:
            message.routes.add(
                route=key.name,
                mean_run_ms=math.exp(estimate.mean) * MILLISECONDS,
                age_ms=age_ms,
            )


def put_gone(message: pb.Estimates, key: EstimateKey) -> None:
    """Add the removal of an estimate; only targets leave."""
    if key.kind is EstimateKind.TARGET:
        message.targets_gone.append(key.name)


def read_estimates(message: pb.Estimates, now: float) -> ReadEstimates:
    """Return the estimates in a message.

    :param now: monotonic time in seconds.
    """
    found: list[Estimate] = []
    ignored = 0
    for estimate in _entries(message, now):
        if is_named(estimate.key) and estimate.is_plausible:
            found.append(estimate)
        else:
            ignored += 1
    gone = tuple(
        EstimateKey(EstimateKind.TARGET, target_id)
        for target_id in message.targets_gone
    )
    return ReadEstimates(estimates=tuple(found), gone=gone, ignored=ignored)


def _entries(message: pb.Estimates, now: float) -> Iterator[Estimate]:
    for target in message.targets:
        yield Estimate(
            key=EstimateKey(EstimateKind.TARGET, target.target_id),
            mean=target.effect / EFFECT_UNITS,
            variance=target.variance / VARIANCE_UNITS,
            learned_at=now - target.age_ms / MILLISECONDS,
        )
    for label in message.labels:
        yield Estimate(
            key=EstimateKey(EstimateKind.LABEL, label.label, label.service),
            mean=label.effect / EFFECT_UNITS,
            variance=label.variance / VARIANCE_UNITS,
            learned_at=now - label.age_ms / MILLISECONDS,
        )
    for route in message.routes:
        yield Estimate(
            key=EstimateKey(EstimateKind.ROUTE, route.route),
            mean=_to_log_s(route.mean_run_ms / MILLISECONDS),
            variance=0.0,
            learned_at=now - route.age_ms / MILLISECONDS,
        )


def is_named(key: EstimateKey) -> bool:
    """Return whether the names of a key are present and not too long."""
    needed = key.service if key.kind is EstimateKind.LABEL else key.name
    longest = max(len(key.name), len(key.service))
    return bool(needed) and longest <= MAX_NAME_LENGTH


def _to_units(variance: float) -> int:
    return max(1, round(variance * VARIANCE_UNITS))


def _to_log_s(run_s: float) -> float:
    """Return the logarithm of a run time; not finite if it is none."""
    return math.log(run_s) if run_s > 0.0 else -math.inf
