"""The sessions of a runner."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from cassiaturn.transport import Outbox
from cassiaturn.v1 import runner_pb2 as pb


def _make_outbox() -> Outbox[pb.FromRunner]:
    return Outbox(make=pb.FromRunner)


@dataclass(slots=True, kw_only=True, eq=False)
class HolderSession:
    """One stream from a holder."""

    holder: str
    """Incarnation of the holder."""

    outbox: Outbox[pb.FromRunner] = field(default_factory=_make_outbox)
    """Frames for the holder."""

    over: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when the runner wants the stream to end."""

    def end(self) -> None:
        """Let the stream end; what it still receives is ignored."""
        self.over.set()


@dataclass(slots=True, kw_only=True)
class SessionTable:
    """The standing session of each holder."""

    sessions_by_holder: dict[str, HolderSession] = field(default_factory=dict)
    """Sessions by the incarnation of their holder."""

    def open(self, holder: str) -> HolderSession:
        """Open a session; an earlier one of the same holder ends.

        Starts that are still under way on the earlier stream are not begun:
        the welcome of the new one says what was begun, and that must stay
        true.

        :param holder: incarnation of the holder.
        """
        earlier = self.sessions_by_holder.get(holder)
        if earlier is not None:
            earlier.end()
        session = HolderSession(holder=holder)
        self.sessions_by_holder[holder] = session
        return session

    def close(self, session: HolderSession) -> None:
        """Forget a session whose stream has ended.

        :param session: one that :meth:`open` returned.
        """
        session.end()
        if self.sessions_by_holder.get(session.holder) is session:
            del self.sessions_by_holder[session.holder]

    def all(self) -> Iterable[HolderSession]:
        """Return the standing sessions."""
        return list(self.sessions_by_holder.values())
