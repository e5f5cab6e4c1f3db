"""The fleet: members that accept callers' jobs, and one leader that schedules them."""

from cassiaturn.fleet._callers import CallerJobService, MemberJobService
from cassiaturn.fleet._member import Member
from cassiaturn.fleet._ports import (
    Authority,
    CallProblem,
    Changes,
    EntryT,
    Gone,
    HistoryLost,
    NoAnswer,
    PlatformServices,
    RoutingReader,
    Snapshot,
    StartReply,
    Superseded,
    TargetCalls,
    Watchable,
)
from cassiaturn.fleet._process import Adapter, CallerServer, run

__all__ = [
    "Adapter",
    "Authority",
    "CallProblem",
    "CallerJobService",
    "CallerServer",
    "Changes",
    "EntryT",
    "Gone",
    "HistoryLost",
    "Member",
    "MemberJobService",
    "NoAnswer",
    "PlatformServices",
    "RoutingReader",
    "Snapshot",
    "StartReply",
    "Superseded",
    "TargetCalls",
    "Watchable",
    "run",
]
