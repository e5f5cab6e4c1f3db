"""Settings of the runner stand-ins of one process."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

from cassiaturn.standins._run_time import RunTime
from cassiaturn.standins._task_table import (
    DEFAULT_KEEP_ACKNOWLEDGED_MS,
    DEFAULT_REMEMBERED_TASKS,
    DEFAULT_SLOTS,
)

DEFAULT_CONNECTIONS = 64
"""Sessions at once, as on every runner of the first two users."""

LOOPBACK = "127.0.0.1"


class RunnerSettings(BaseModel):
    """One runner."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    target_id: str = Field(min_length=1)
    """Name of the target."""

    port: int = Field(ge=0, le=65_535)
    """TCP port; 0: any free one."""

    slots: int = Field(default=DEFAULT_SLOTS, ge=1)
    """Tasks at once."""

    connections: int = Field(default=DEFAULT_CONNECTIONS, ge=1)
    """Sessions at once."""

    journal: Path | None = None
    """File for its journal; none: no journal."""


class RunnerHostSettings(BaseModel):
    """A process that hosts runners."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str = LOOPBACK
    """IP number to listen on."""

    control_port: int = Field(default=0, ge=0, le=65_535)
    """HTTP port for faults and counters; 0: any free one."""

    runners: Sequence[RunnerSettings]
    """Runners of this process."""

    seed: int = 0
    """Seed of the run times."""

    run_time: RunTime = RunTime()
    """Run time of methods that are not listed."""

    run_times_by_method: Mapping[str, RunTime] = Field(default_factory=dict)
    """Run time of each method."""

    methods: frozenset[str] = frozenset()
    """Methods served; empty: all."""

    usage_lag_ms: int = Field(default=2000, ge=0)
    """Age of the usage that the runners report, in milliseconds."""

    remembered_tasks: int = Field(default=DEFAULT_REMEMBERED_TASKS, ge=1)
    """Keys that a runner keeps at most."""

    keep_acknowledged_ms: int = Field(default=DEFAULT_KEEP_ACKNOWLEDGED_MS, ge=0)
    """How long a runner keeps the key of an acknowledged task."""
