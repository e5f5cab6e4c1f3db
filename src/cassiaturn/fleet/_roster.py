"""A follower's copy of the leader's members and targets, for when it has to lead."""

from collections.abc import Mapping, Sequence

from cassiaturn.entities import TargetReport
from cassiaturn.fleet._codec import from_target, to_target
from cassiaturn.fleet._digests import Digests, bucket_of
from cassiaturn.v1 import fleet_pb2 as pb


class Roster:
    """A copy of the leader's list, updated page by page."""

    def __init__(self) -> None:
        """Start empty."""
        self.is_whole = False
        """Whether the copy holds everything that its leader knew when it last sent.

        A successor that misses a target can't tell whether an earlier leader's task
        still runs there, and must not start it elsewhere at once.
        """

        self.leader_tokens: frozenset[int] = frozenset()
        """Tokens that its leader has had in its term, as far as this member knows."""

        self.led_tokens: frozenset[int] = frozenset()
        """Tokens of this member's own last term, while the targets are those that it
        knew as the leader."""

        self._members_by_id: dict[str, pb.Member] = {}
        self._targets_by_id: dict[str, TargetReport] = {}
        self._digests = Digests()
        self._unconfirmed_members: set[str] = set()
        self._unconfirmed_targets: set[str] = set()

    @property
    def members(self) -> Sequence[pb.Member]:
        """The leader's followers."""
        return tuple(self._members_by_id.values())

    @property
    def targets_by_id(self) -> Mapping[str, TargetReport]:
        """The directory of targets, by id."""
        return self._targets_by_id

    @property
    def target_digests(self) -> Sequence[int]:
        """Digests of the targets, by bucket; empty if no target is known."""
        return self._digests.by_bucket if self._targets_by_id else ()

    @property
    def list_token(self) -> int:
        """Highest token of the leader that told the targets; 0: none has."""
        return max(self.leader_tokens, default=0)

    @property
    def list_digest(self) -> int:
        """Digest of the targets, whatever is known of each of them."""
        return self._digests.of_ids

    def begin(self, leader_token: int) -> None:
        """Start to follow a leader.

        Known entries are kept until the leader has sent its whole list: it may fall
        silent before that.

        :param leader_token: the leader's token.
        """
        self.is_whole = False
        self.led_tokens = frozenset()
        self.leader_tokens = frozenset({leader_token})
        self._unconfirmed_members = set(self._members_by_id)
        self._unconfirmed_targets = set()

    def note_leader_token(self, token: int) -> None:
        """Record that the leader continues with a higher token."""
        self.leader_tokens |= {token}

    def replace_targets(
        self, reports_by_id: Mapping[str, TargetReport], leader_tokens: frozenset[int]
    ) -> None:
        """Replace the targets by those that this member knew as the leader.

        :param leader_tokens: the tokens that it has had in its term.
        """
        self.leader_tokens = leader_tokens
        self.led_tokens = leader_tokens
        self._targets_by_id = {}
        self._digests = Digests()
        for report in reports_by_id.values():
            self._put_target(from_target(report))
        self.is_whole = True

    def apply(self, page: pb.RosterPage) -> None:
        """Apply a page from the leader."""
        if page.differing_buckets:
            buckets = frozenset(page.differing_buckets)
            self._unconfirmed_targets |= {
                target_id
                for target_id in self._targets_by_id
                if bucket_of(target_id) in buckets
            }
        for member in page.members:
            self._members_by_id[member.member_id] = member
            self._unconfirmed_members.discard(member.member_id)
        for member_id in page.members_gone:
            self._members_by_id.pop(member_id, None)
        for entry in page.targets:
            self._put_target(entry)
            self._unconfirmed_targets.discard(entry.target_id)
        for target_id in page.targets_gone:
            self._remove_target(target_id)
        if page.whole:
            self._drop_unconfirmed()

    def _put_target(self, entry: pb.TargetEntry) -> None:
        self._targets_by_id[entry.target_id] = to_target(entry)
        self._digests.put(entry)

    def _remove_target(self, target_id: str) -> None:
        self._targets_by_id.pop(target_id, None)
        self._digests.remove(target_id)

    def _drop_unconfirmed(self) -> None:
        for member_id in self._unconfirmed_members:
            self._members_by_id.pop(member_id, None)
        for target_id in self._unconfirmed_targets:
            self._remove_target(target_id)
        self._unconfirmed_members = set()
        self._unconfirmed_targets = set()
        self.is_whole = True
