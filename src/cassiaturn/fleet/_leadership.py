"""Leader election: decides what a member does that has lost its leader.

Failure: the leader's process is killed, its host is paused or loses power, or network
partitions separate members from each other or from the table service, in any
combination. Without an election callers get refusals or no answers at all; two leaders
of one target would run tasks twice.

Grounds: two concurrent leaders are harmless, because a target obeys only the highest
fencing token. Safety therefore needs no consensus; these rules only decide how soon a
member leads again, and keep the number of competing leaders small.
"""

import json
import re
import secrets
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from enum import Enum, auto
from typing import TypeGuard

REACH_BITS = 8
"""Bits of a token for the number of members that its claimant reaches. If both sides of
a network partition claim the same term, the larger side's claim wins once it heals. If
the smaller side's won, every target would leave the leader of most callers, and their
jobs would be given up."""

SALT_BITS = 20
"""Random bits of a token that distinguish claimants of one term: two members that reach
neither the table service nor each other get equal tokens in one of a million cases."""

NO_TOKEN = 0
"""Lower than every token."""


MAX_TERM = 2**32
"""Upper bound of terms: claiming one each millisecond would reach it in seven weeks. A
larger term, written into the row by something else, would leave no room for the token
of the next claim."""

MAX_TOKEN = (MAX_TERM + 1) << (REACH_BITS + SALT_BITS)
"""Higher than every token of a valid term."""

MAX_TEXT_LENGTH = 200
"""Maximum length of a member id or address in a row, in characters."""

# Validated by hand: a model for this one row would add 20 ms to every process start.
_ADDRESS = re.compile(r"[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}")


@dataclass(frozen=True, slots=True, kw_only=True)
class Leadership:
    """One term of one leader."""

    token: int
    """Fencing token of its orders; higher than that of every earlier term."""

    term: int
    """Sequence number of the term."""

    member_id: str
    """The leader: one incarnation of one member."""

    address: str
    """Address at which it serves other members, ``host:port``."""

    def to_value(self, renewal: int) -> str:
        """Return the JSON value of the leader's row.

        :param renewal: how often the leader has renewed the row.
        """
        return json.dumps({**asdict(self), "renewal": renewal})

    @classmethod
    def from_value(cls, value: str) -> "Leadership | None":
        """Return the leadership in a row, or None if the value is malformed.

        Anything with write access to the table may have written the row. A number of
        the wrong type, or one that does not fit into the members' messages, would crash
        every member that reads it.

        :param value: value of the row.
        """
        try:
            document = json.loads(value)
        except (ValueError, RecursionError):
            return None
        if not isinstance(document, dict):
            return None
        token, term = document.get("token"), document.get("term")
        member_id, address = document.get("member_id"), document.get("address")
        if not (_is_number(token, MAX_TOKEN) and _is_number(term, MAX_TERM)):
            return None
        if not (token and _is_text(member_id) and _is_text(address)):
            return None
        if _ADDRESS.fullmatch(address) is None:
            return None
        return cls(token=token, term=term, member_id=member_id, address=address)


def _is_number(value: object, limit: int) -> TypeGuard[int]:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and 0 <= value < limit  # type: ignore[operator]


def _is_text(value: object) -> TypeGuard[str]:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH


def next_leadership(
    highest: "Leadership | None",
    *,
    member_id: str,
    address: str,
    reach: int,
    terms: int = 1,
) -> Leadership:
    """Return the leadership that a member claims.

    :param highest: the latest leadership that it knows of.
    :param member_id: the member.
    :param address: where it serves other members, ``host:port``.
    :param reach: number of members that answer it or follow it.
    :param terms: by how many terms to advance; more than one if targets obey a token
        that no known leader holds.
    """
    term = highest.term + terms if highest is not None else 0
    # Tokens of term 0 are above 0, too, because a target reads a missing token as 0.
    size = min(reach, (1 << REACH_BITS) - 1)
    salt = secrets.randbelow(1 << SALT_BITS)
    token = (((term + 1) << REACH_BITS | size) << SALT_BITS) | salt
    return Leadership(token=token, term=term, member_id=member_id, address=address)


class Loss(Enum):
    """How the leader was lost."""

    NEVER_KNOWN = auto()
    """This member has not followed a leader yet."""

    GONE = auto()
    """Its process has ended or does not lead: a claim does no harm."""

    SILENT = auto()
    """It does not answer: dead, paused, or unreachable from here."""

    ASKED = auto()
    """It asked this member to take over."""


class RowState(Enum):
    """State of the leader's row in the table service."""

    UNREADABLE = auto()
    """The table service does not answer."""

    ABSENT = auto()
    """No member has ever led."""

    RENEWED = auto()
    """Its leader was seen to write it within the last two renewal periods."""

    STALE = auto()
    """It has not been written for longer than that."""

    YOUNG = auto()
    """It has not been observed for long enough to tell."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Look:
    """Answer of another member to a ``Look`` request: its view of a lost leader."""

    hears_leader: bool
    """Whether it has heard from the lost leader very recently."""

    highest: Leadership | None
    """The latest leadership that it knows of."""

    link_mbps: float = 0.0
    """Bandwidth of its host's link, in megabits per second; 0 if not told."""

    cpu_cores: float = 0.0
    """Processor capacity of its host, in cores; 0 if not reported."""


class LookFailure(Enum):
    """Why another member gave no answer."""

    REFUSED = auto()
    """Its address refused the connection: the process has ended."""

    SILENT = auto()
    """It did not answer in time: busy, dead, or unreachable from here."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ElectionView:
    """What a member without a leader knows when it decides on its next step."""

    loss: Loss
    """How the leader was lost."""

    known: Leadership | None
    """The latest leadership that this member knew."""

    row: RowState
    """State of the leader's row."""

    row_leadership: Leadership | None
    """The leadership in the row, if any."""

    looks: Sequence[Look]
    """Answers of other members about the leader."""

    members_asked: int
    """Number of members that were asked, whether they answered or not."""

    members_before: int
    """Number of members that answer and precede this one in the claim order."""

    fitter_is_silent: bool = False
    """Whether a member on a fitter host did not answer in time."""

    tries: int = 0
    """Number of earlier rounds of questions since the loss."""

    knows_targets: bool = True
    """Whether this member got the list of targets from the lost leader."""

    leader_answers: bool = False
    """Whether the lost leader itself answers, over a new connection, that it leads."""


class Step(Enum):
    """Next step of a member without a leader."""

    FOLLOW = auto()
    """Follow the latest known leadership."""

    FOLLOW_AGAIN = auto()
    """Reconnect to the same leader."""

    CLAIM = auto()
    """Claim the leadership by a conditional write of the row."""

    CLAIM_ALONE = auto()
    """Lead at once, and write the row as soon as the table service answers."""

    WAIT = auto()
    """Refuse callers, and ask again later."""


def latest(view: ElectionView) -> Leadership | None:
    """Return the leadership with the highest token, wherever it was learned.

    :param view: what the member knows.
    :returns: the leadership; None if no member has led as far as it is known.
    """
    named = [view.known, view.row_leadership]
    named.extend(look.highest for look in view.looks)
    present = [leadership for leadership in named if leadership is not None]
    return max(present, key=lambda leadership: leadership.token, default=None)


def next_step(view: ElectionView) -> Step:
    """Return the next step of a member without a leader.

    :param view: what it knows.
    """
    known_token = view.known.token if view.known else NO_TOKEN
    newest = latest(view)
    if newest is not None and newest.token > known_token:
        return Step.FOLLOW
    if view.loss is Loss.ASKED:
        # A leader that hands over still leads, so other members hear it.
        has_row = view.row is not RowState.UNREADABLE
        return Step.CLAIM if has_row else Step.CLAIM_ALONE
    if view.leader_answers:
        # Only the connection failed. A claim would move every member to a new leader
        # and have it query every target again, while this member's jobs wait.
        return Step.FOLLOW_AGAIN
    if any(look.hears_leader for look in view.looks):
        # The leader is alive and only this member does not reach it. A claim would
        # take the targets away from all other members.
        return Step.WAIT
    if view.known is None or not view.knows_targets:
        return _next_step_without_targets(view)
    if not _is_lost(view) or view.members_before > view.tries:
        # A member that precedes this one in the claim order and answers claims first.
        # The table service would have to decide between concurrent claims, which may
        # take longer than the leases last.
        return Step.WAIT
    if view.fitter_is_silent and not view.tries:
        # A busy member may fail to answer once. A claim that ignores it would make a
        # member lead whose link or processor is too slow for the orders, until the
        # next election.
        return Step.WAIT
    has_row = view.row is not RowState.UNREADABLE
    if has_row and (view.members_before or not view.looks):
        return Step.CLAIM
    return Step.CLAIM_ALONE


def _is_lost(view: ElectionView) -> bool:
    """Return whether the leader is lost, rather than this member isolated."""
    if view.loss is Loss.GONE or view.looks:
        # Its process has ended, or other members do not hear it either.
        return True
    return view.row in (RowState.ABSENT, RowState.STALE)


def _next_step_without_targets(view: ElectionView) -> Step:
    """Return the step of a member that needs the table service in order to lead."""
    if view.row is RowState.UNREADABLE:
        # Without the directory of the table service it would know no targets.
        return Step.WAIT
    if _is_lost(view):
        return Step.CLAIM
    return Step.WAIT
