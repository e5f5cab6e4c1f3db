"""The version that one instance has in force."""

from dataclasses import dataclass

from cassiaturn.configuration._documents import MalformedRow
from cassiaturn.configuration._shared import SharedConfiguration


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The offered configuration is in force now."""

    configuration: SharedConfiguration
    """What is in force."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Stale:
    """The offered version is not above the one in force, which stays."""

    offered: int
    """The version that came."""

    held: int
    """The version in force."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """What was offered cannot be true or read; the version in force stays."""

    version: int
    """The version that came."""

    detail: str
    """What is wrong with it."""


OfferOutcome = Applied | Stale | Rejected


class ConfigurationView:
    """Holds the highest version offered and when it was last confirmed.

    Messages come late and twice, hosts restart while the store is down, and a
    restored table may name an old version: whatever the source, a lower version
    never replaces a higher one, since callers would see an accepted change
    taken back.
    """

    __slots__ = ("_confirmed_at", "_rejected_version", "confirm_within_s", "current")

    def __init__(self, *, confirm_within_s: float) -> None:
        """Hold nothing yet.

        :param confirm_within_s: how long a confirmation counts, in seconds.
        """
        self.confirm_within_s = confirm_within_s
        self.current: SharedConfiguration | None = None
        self._confirmed_at: float | None = None
        self._rejected_version: int | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 also while there is none."""
        return 0 if self.current is None else self.current.version

    def offer(self, configuration: SharedConfiguration) -> OfferOutcome:
        """Take a configuration if it is newer.

        :param configuration: whatever its source.
        """
        if self.current is None or configuration.version > self.current.version:
            self.current = configuration
            # What confirmed the version before says nothing about this one.
            self._confirmed_at = None
            return Applied(configuration=configuration)
        if (
            configuration.version == self.current.version
            and configuration != self.current
        ):
            detail = "another content under the version in force"
            return Rejected(version=configuration.version, detail=detail)
        return Stale(offered=configuration.version, held=self.current.version)

    def reject(self, version: int, malformed: MalformedRow) -> Rejected | None:
        """Note a stored version that cannot be read.

        :param version: the version.
        :param malformed: what is wrong with it.
        :returns: None when it was noted before.
        """
        if self._rejected_version == version:
            return None
        self._rejected_version = version
        return Rejected(version=version, detail=f"{malformed.key}: {malformed.detail}")

    def is_rejected(self, version: int) -> bool:
        """Whether a version is known to be unreadable, so not worth a read.

        :param version: the version.
        """
        return self._rejected_version == version

    def confirm(self, version: int, now: float) -> None:
        """Note that the table service holds a version as the newest.

        :param version: what it holds; 0: none.
        :param now: monotonic time, in seconds.
        """
        if self.current is not None and version == self.current.version:
            self._confirmed_at = now

    def is_confirmed(self, now: float) -> bool:
        """Whether the version in force was lately the newest.

        :param now: monotonic time, in seconds.
        """
        age_s = self.age_s(now)
        return age_s is not None and age_s <= self.confirm_within_s

    def age_s(self, now: float) -> float | None:
        """Return the time since the last confirmation, in seconds.

        :param now: monotonic time, in seconds.
        :returns: None if there was none.
        """
        return None if self._confirmed_at is None else now - self._confirmed_at
