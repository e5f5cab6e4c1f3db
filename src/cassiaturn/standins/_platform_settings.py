"""Settings and faults of the platform stand-in."""

from collections.abc import Sequence

from pydantic import BaseModel, ConfigDict, Field

from cassiaturn.services import HostDocument
from cassiaturn.standins._runner_settings import LOOPBACK


class PlatformFault(BaseModel):
    """What the platform does wrong; the default is nothing.

    Each ``POST /fault`` replaces the whole fault.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    down: bool = False
    """Every call is answered 503 and has no effect."""

    hanging: bool = False
    """Calls are not answered, and have no effect, until this is cleared."""

    slow_ms: float = Field(default=0.0, ge=0.0, le=600_000.0)
    """Added to each call, in milliseconds."""

    answer_lost_share: float = Field(default=0.0, ge=0.0, le=1.0)
    """Share of the writes whose connection closes after they took effect."""


class PlatformSettings(BaseModel):
    """The table service, object store and list of hosts in one process."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str = LOOPBACK
    """IP number to listen on."""

    port: int = Field(default=0, ge=0, le=65_535)
    """HTTP port of all services and of the control pages; 0: any free one."""

    writes_per_s: float = Field(default=400.0, gt=0.0)
    """Transactions and object writes together; the users have several hundred."""

    reads_per_s: float = Field(default=2000.0, gt=0.0)
    """Reads of every kind together."""

    write_ms: float = Field(default=5.0, ge=0.0)
    """Time of a write, which is synced."""

    read_ms: float = Field(default=1.0, ge=0.0)
    """Time of a read."""

    hosts: Sequence[HostDocument] = ()
    """The list at the start."""

    hosts_lag_s: float = Field(default=10.0, ge=0.0)
    """Age of the list that is shown, in seconds."""

    seed: int = 0
    """Seed of the choice of lost answers."""
