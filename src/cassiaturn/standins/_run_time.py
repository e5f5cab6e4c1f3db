"""Run times of tasks, drawn from a distribution and fixed by the task's key."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import xxhash
from pydantic import ConfigDict, Field, with_config

from cassiaturn.entities import TaskKey


class Shape(StrEnum):
    """How run times spread around their median."""

    FIXED = "fixed"
    UNIFORM = "uniform"
    LOGNORMAL = "lognormal"


@with_config(ConfigDict(extra="forbid"))
@dataclass(frozen=True, slots=True, kw_only=True)
class RunTime:
    """A distribution of run times, as scenarios and settings write it."""

    shape: Shape = Shape.FIXED
    """How run times spread."""

    median_ms: Annotated[float, Field(ge=0.0, le=600_000.0)] = 100.0
    """Middle of the run times, in milliseconds."""

    spread: Annotated[float, Field(ge=0.0, le=4.0)] = 0.0
    """Uniform: half of the width, as a share of the median, at most 1 is of
    use. Lognormal: standard deviation of the logarithm."""

    long_share: Annotated[float, Field(ge=0.0, le=1.0)] = 0.0
    """Share of the tasks that are long."""

    long_factor: Annotated[float, Field(ge=1.0, le=1000.0)] = 10.0
    """Run time of a long task over what the shape gave."""

    longest_ms: Annotated[float, Field(gt=0.0)] = 600_000.0
    """Cut at this, in milliseconds."""

    def draw_ms(self, key: TaskKey, *, seed: int = 0) -> float:
        """Return the run time of a task; equal arguments give equal results.

        Every attempt of a task takes the same time, and whoever knows the key
        can work it out, which is how the checker knows the ideal.

        :param key: the task.
        :param seed: seed of the scenario.
        :returns: milliseconds.
        """
        text = f"{key.submission_id}/{key.task_index}".encode()
        source = random.Random(xxhash.xxh3_64_intdigest(text, seed))
        run_ms = _DRAWS_BY_SHAPE[self.shape](self, source)
        if source.random() < self.long_share:
            run_ms *= self.long_factor
        return min(run_ms, self.longest_ms)


_Draw = Callable[[RunTime, random.Random], float]

_DRAWS_BY_SHAPE: dict[Shape, _Draw] = {}


def _draws(shape: Shape) -> Callable[[_Draw], _Draw]:
    def register(draw: _Draw) -> _Draw:
        _DRAWS_BY_SHAPE[shape] = draw
        return draw

    return register


@_draws(Shape.FIXED)
def _fixed(spec: RunTime, source: random.Random) -> float:
    return spec.median_ms


@_draws(Shape.UNIFORM)
def _uniform(spec: RunTime, source: random.Random) -> float:
    half = spec.median_ms * min(spec.spread, 1.0)
    return source.uniform(spec.median_ms - half, spec.median_ms + half)


@_draws(Shape.LOGNORMAL)
def _lognormal(spec: RunTime, source: random.Random) -> float:
    if not spec.median_ms:
        return 0.0
    return source.lognormvariate(math.log(spec.median_ms), spec.spread)
