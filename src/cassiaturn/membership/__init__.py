"""Membership: which instances live, their heartbeat links, and target assignment.

An instance is one process of the dispatcher; its neighbours are the instances that it
always exchanges heartbeats with. The holder of a target is the instance that starts
tasks there.
"""

from cassiaturn.membership._holders import holder_of, holders_by_target
from cassiaturn.membership._links import links_of
from cassiaturn.membership._rows import (
    HostHint,
    MemberChange,
    MemberFacts,
    MemberRow,
    MemberState,
)
from cassiaturn.membership._settings import MembershipSettings
from cassiaturn.membership._table import MembershipTable

__all__ = [
    "HostHint",
    "MemberChange",
    "MemberFacts",
    "MemberRow",
    "MemberState",
    "MembershipSettings",
    "MembershipTable",
    "holder_of",
    "holders_by_target",
    "links_of",
]
