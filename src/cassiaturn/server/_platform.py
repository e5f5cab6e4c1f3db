"""Clients of the platform's services that the settings name."""

from cassiaturn.observability import Metrics, ObservedTable
from cassiaturn.services import (
    HostList,
    HttpCaller,
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
    ObjectStore,
    TableService,
)
from cassiaturn.settings import PlatformSettings, TimingSettings

MS_PER_S = 1000


class PlatformServices:
    """Table service, object store and host list; None if not in the settings."""

    def __init__(
        self,
        *,
        settings: PlatformSettings,
        timings: TimingSettings,
        metrics: Metrics,
    ) -> None:
        """Create the clients; connections open on first use."""
        self._timeout_s = timings.store_timeout_ms / MS_PER_S
        self._callers: list[HttpCaller] = []
        self.table: TableService | None = None
        self.objects: ObjectStore | None = None
        self.hosts: HostList | None = None
        if settings.table_url:
            caller = self._caller(settings.table_url)
            self.table = ObservedTable(
                table=HttpTableService(caller=caller), metrics=metrics
            )
        if settings.objects_url:
            self.objects = HttpObjectStore(caller=self._caller(settings.objects_url))
        if settings.hosts_url:
            self.hosts = HttpHostList(caller=self._caller(settings.hosts_url))

    def close(self) -> None:
        """Close every connection."""
        for caller in self._callers:
            caller.close()

    def _caller(self, url: str) -> HttpCaller:
        caller = HttpCaller(base_url=url, timeout_s=self._timeout_s)
        self._callers.append(caller)
        return caller
