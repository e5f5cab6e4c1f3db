"""Who leads, and what a member does that lost its leader.

Failure that it answers: the leader's process is killed, its host stands still or
loses power, or members are cut off from each other or from the table service, in
any combination. Callers see refusals, or answers that never come, until somebody
leads again; two leaders of one target would run tasks twice.

Two leaders at once are harmless: a target obeys the highest token only. So nothing
here has to be agreed on before it is safe, and the rules only decide how soon
somebody leads and that few leaders compete.
"""

import json
import re
import secrets
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from enum import Enum, auto
from typing import TypeGuard

REACH_BITS = 8
"""Bits of a token for the members that its claimant reaches. Of two claims of one term,
on both sides of a cut, the larger side's wins when it heals: the smaller one's would
take every target away from most callers' leader, whose jobs are then given up."""

SALT_BITS = 20
"""Bits of a token that tell claimants of one term apart: two members cut off from
the table service and from each other get equal tokens in one of a million cases."""

NO_TOKEN = 0
"""Below every token."""


MAX_TERM = 2**32
"""Above every term of a member: one a millisecond for seven weeks. A row by another
writer with a larger one would leave no room for the token of the next claim."""

MAX_TOKEN = (MAX_TERM + 1) << (REACH_BITS + SALT_BITS)
"""Above every token of such a term."""

MAX_TEXT = 200
"""Longest name or address in a row, in characters."""

# Checked by hand: a model for this one row takes 20 ms of every start of a process.
_ADDRESS = re.compile(r"[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}")


@dataclass(frozen=True, slots=True, kw_only=True)
class Leadership:
    """One term of one leader."""

    token: int
    """Fencing token of its orders; above that of every earlier term."""

    term: int
    """Counts the terms."""

    member_id: str
    """The leader: one life of one process."""

    address: str
    """Where it serves other members, ``host:port``."""

    def to_value(self, renewal: int) -> str:
        """Return it as the value of its row.

        :param renewal: counts how often the leader has written it.
        """
        return json.dumps({**asdict(self), "renewal": renewal})

    @classmethod
    def from_value(cls, value: str) -> "Leadership | None":
        """Return what a row holds, or None if that is no leadership.

        Anybody who may write to the table may have written it. A number of another
        type, or one that members cannot hand on to each other, would end the process
        of every member that reads it.
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


def _is_number(value: object, end: int) -> TypeGuard[int]:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and 0 <= value < end  # type: ignore[operator]


def _is_text(value: object) -> TypeGuard[str]:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT


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
    :param address: where it serves other members.
    :param reach: members that answer it or follow it.
    :param terms: terms to go ahead by; more if targets obey one that nobody knows.
    """
    term = highest.term + terms if highest is not None else 0
    # Term 0 has tokens above 0 as well: a target takes a missing token for 0.
    size = min(reach, (1 << REACH_BITS) - 1)
    salt = secrets.randbelow(1 << SALT_BITS)
    token = (((term + 1) << REACH_BITS | size) << SALT_BITS) | salt
    return Leadership(token=token, term=term, member_id=member_id, address=address)


class Loss(Enum):
    """What is known of the leader that was lost."""

    NEVER_KNOWN = auto()
    """This member has not followed anybody yet."""

    GONE = auto()
    """Its process ended, or does not lead: a claim harms nobody."""

    SILENT = auto()
    """It does not answer: dead, standing still, or cut off from here."""

    ASKED = auto()
    """It asked this member to lead."""


class RowState(Enum):
    """What the leader's row in the table service tells."""

    UNREADABLE = auto()
    """The table service does not answer."""

    ABSENT = auto()
    """Nobody has ever led."""

    RENEWED = auto()
    """Its leader has written it within the time of two renewals."""

    STALE = auto()
    """It has not been written for longer."""

    YOUNG = auto()
    """It has not been watched for long enough to tell."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Look:
    """What another member says when it is asked about the leader."""

    hears_leader: bool
    """Whether it has heard the lost leader just now."""

    highest: Leadership | None
    """The latest leadership that it knows of."""

    link_mbps: float = 0.0
    """Width of its host's link, in megabits a second; 0: not told."""


class LookFailure(Enum):
    """Why another member said nothing."""

    REFUSED = auto()
    """Nothing listens at its address: its process ended."""

    SILENT = auto()
    """It gave no answer in time: busy, dead, or cut off from here."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ElectionView:
    """What a member without a leader knows."""

    loss: Loss
    """What is known of the leader that was lost."""

    known: Leadership | None
    """The latest leadership that it knew."""

    row: RowState
    """What the row tells."""

    row_leadership: Leadership | None
    """The leadership in the row."""

    looks: Sequence[Look]
    """Answers of other members."""

    members_asked: int
    """Members that were asked, answers or not."""

    members_before: int
    """Members that answer and come before this one in the order in which members
    claim."""

    wider_is_silent: bool = False
    """Whether a member with a wider link than this one's gave no answer in time."""

    tries: int = 0
    """Looks around since the loss, before this one."""

    knows_targets: bool = True
    """Whether the lost leader had told this member which targets there are."""

    leader_answers: bool = False
    """Whether the lost leader itself says, over a new connection, that it leads."""


class Step(Enum):
    """What to do next."""

    FOLLOW = auto()
    """Follow the latest leadership that was heard of."""

    FOLLOW_AGAIN = auto()
    """Follow the same leader again, over a new connection."""

    CLAIM = auto()
    """Claim the leadership by a conditional write of the row."""

    CLAIM_ALONE = auto()
    """Lead at once; the row is written as soon as the table service answers."""

    WAIT = auto()
    """Refuse callers and look again."""


def latest(view: ElectionView) -> Leadership | None:
    """Return the latest leadership that anybody named."""
    named = [view.known, view.row_leadership]
    named.extend(look.highest for look in view.looks)
    present = [leadership for leadership in named if leadership is not None]
    return max(present, key=lambda leadership: leadership.token, default=None)


def next_step(view: ElectionView) -> Step:
    """Return what a member without a leader does.

    :param view: what it knows.
    """
    known_token = view.known.token if view.known else NO_TOKEN
    newest = latest(view)
    if newest is not None and newest.token > known_token:
        return Step.FOLLOW
    if view.loss is Loss.ASKED:
        # The leader that stops still leads, so others hear it.
        has_row = view.row is not RowState.UNREADABLE
        return Step.CLAIM if has_row else Step.CLAIM_ALONE
    if view.leader_answers:
        # Only the connection fell silent. A claim would make every member move and
        # every target be asked anew, and this one's jobs would wait for it.
        return Step.FOLLOW_AGAIN
    if any(look.hears_leader for look in view.looks):
        # The leader lives and only this member is cut off from it. A claim would
        # take the targets away from everybody else.
        return Step.WAIT
    if view.known is None or not view.knows_targets:
        return _without_targets(view)
    if not _is_lost(view) or view.members_before > view.tries:
        # An earlier member that answers claims first. Claims at once would have to be
        # told apart by the table service, which may take longer than the leases last.
        return Step.WAIT
    if view.wider_is_silent and not view.tries:
        # A busy member misses a look. A claim past it would let a link lead that does
        # not carry the orders, until the next change of leader.
        return Step.WAIT
    has_row = view.row is not RowState.UNREADABLE
    if has_row and (view.members_before or not view.looks):
        return Step.CLAIM
    return Step.CLAIM_ALONE


def _is_lost(view: ElectionView) -> bool:
    """Return whether it is the leader that is gone, and not this member."""
    if view.loss is Loss.GONE or view.looks:
        # Its process ended, or others miss it too.
        return True
    return view.row in (RowState.ABSENT, RowState.STALE)


def _without_targets(view: ElectionView) -> Step:
    """Return the step of a member that can lead only with the table service."""
    if view.row is RowState.UNREADABLE:
        # Without the directory it would know no target.
        return Step.WAIT
    if _is_lost(view):
        return Step.CLAIM
    return Step.WAIT
