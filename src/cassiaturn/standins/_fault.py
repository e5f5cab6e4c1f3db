"""Faults that a runner can be told to show."""

from pydantic import BaseModel, ConfigDict, Field


class RunnerFault(BaseModel):
    """What a runner does wrong; the default is nothing.

    Each ``POST /fault`` replaces the whole fault of the named runners.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    fail_everything: bool = False
    """Every task is started and fails at once."""

    slow_factor: float = Field(default=1.0, gt=0.0, le=1000.0)
    """Factor on the run time of tasks that start from now on."""

    leaving: bool = False
    """Says that it leaves and refuses starts."""

    freeze_answers: bool = False
    """Sends no frame; tasks still start and end."""

    refuse_connections: bool = False
    """Ends its sessions and refuses new ones."""
