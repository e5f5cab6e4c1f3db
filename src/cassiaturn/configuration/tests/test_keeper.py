import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaturn.configuration import (
    VERSION_KEY,
    Applied,
    ConfigurationKeeper,
    ConfigurationView,
    PollSchedule,
    Rejected,
    SharedConfiguration,
    Stale,
    VersionRow,
    document_key,
    propose,
    to_json,
    to_version_json,
)
from cassiaturn.configuration.tests.fakes import (
    FakeTable,
    FreeBudget,
    configuration,
    content,
)

FILE = "tenants: [{name: counters, quota_slots: 3}]\n"

POLL_S = 2.0


class Host:
    """One instance's keeper, driven by hand."""

    def __init__(
        self,
        table: FakeTable | None,
        *,
        initial: Path | None = None,
        highest_at_peers: int = 0,
        document_at_peers: str | None = None,
    ) -> None:
        self.applied: list[SharedConfiguration] = []
        self.highest_at_peers = highest_at_peers
        self.document_at_peers = document_at_peers
        self.budget = FreeBudget()
        self.now = 0.0
        self.keeper = ConfigurationKeeper(
            table=table,
            budget=self.budget,
            initial=initial,
            poll_s=POLL_S,
            highest_at_peers=lambda: self.highest_at_peers,
            on_applied=self.applied.append,
            rng=random.Random(1),
            fetch_from_peer=self._fetch,
        )

    @property
    def versions(self) -> list[int]:
        return [shared.version for shared in self.applied]

    async def run_for(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self.now < end:
            await self.keeper.step(self.now)
            self.now += 0.1

    async def _fetch(self, version: int) -> str | None:
        return self.document_at_peers


async def store(table: FakeTable, base: int, quota_slots: int = 8) -> None:
    outcome = await propose(
        table=table,
        content=content(quota_slots),
        author="ama",
        expected_version=base,
        token=str(base),
    )
    assert outcome.unwrap().version == base + 1


def file_in(directory: Path) -> Path:
    path = directory / "shared.yaml"
    path.write_text(FILE)
    return path


async def test_an_accepted_change_is_in_force_within_five_seconds() -> None:
    table = FakeTable()
    await store(table, 0)
    host = Host(table)
    await host.run_for(1.0)
    await store(table, 1)
    await host.run_for(5.0)
    assert host.versions == [1, 2]
    assert host.keeper.view.is_confirmed(host.now)


async def test_only_the_version_row_is_read_while_nothing_changes() -> None:
    table = FakeTable()
    await store(table, 0)
    host = Host(table)
    await host.run_for(1.0)
    table.keys_read.clear()
    await host.run_for(60.0)
    assert set(table.keys_read) == {VERSION_KEY}
    assert 24 <= len(table.keys_read) <= 40


async def test_a_restart_with_the_store_down_does_not_bring_the_file_back(
    tmp_path: Path,
) -> None:
    """Version 2 is in force, the table goes down, and a host is replaced.

    Its new process has the file of the first day. It applies nothing and so
    stays not ready, since callers would see an accepted change taken back. When
    the table is back it goes straight to version 2.
    """
    table = FakeTable()
    await store(table, 0)
    await store(table, 1)
    table.is_down = True
    host = Host(table, initial=file_in(tmp_path))
    host.keeper.load_initial()
    await host.run_for(60.0)
    assert host.versions == []
    table.is_down = False
    await host.run_for(3.0)
    assert host.versions == [2]


async def test_a_host_cut_off_from_the_store_takes_what_a_peer_holds() -> None:
    """Only this host lost the table; a peer tells version 7 in a heartbeat.

    The host asks the peer for the document and serves by it, unconfirmed. Back
    at the table, which holds version 7, it is confirmed without a second change.
    """
    table = FakeTable()
    table.is_down = True
    host = Host(table, highest_at_peers=7, document_at_peers=to_json(configuration(7)))
    await host.run_for(3.0)
    assert host.versions == [7]
    assert not host.keeper.status().confirmed
    row = VersionRow(version=7, author="ama")
    table.put(VERSION_KEY, to_version_json(row))
    table.is_down = False
    await host.run_for(3.0)
    assert host.versions == [7]
    assert host.keeper.view.is_confirmed(host.now)


async def test_a_store_that_went_back_changes_nothing() -> None:
    """The table was restored from an old copy and names version 1 again.

    The host holds version 3 and keeps it; its status says that nobody confirms
    it any more.
    """
    table = FakeTable()
    for base in range(3):
        await store(table, base)
    host = Host(table)
    await host.run_for(1.0)
    table.put(VERSION_KEY, to_version_json(VersionRow(version=1, author="ama")))
    table.keys_read.clear()
    await host.run_for(30.0)
    assert host.versions == [3]
    assert set(table.keys_read) == {VERSION_KEY}
    assert not host.keeper.view.is_confirmed(host.now)


async def test_the_file_counts_once_the_store_says_that_it_holds_none(
    tmp_path: Path,
) -> None:
    table = FakeTable()
    host = Host(table, initial=file_in(tmp_path))
    await host.run_for(1.0)
    assert host.versions == [0]
    assert host.applied[0].tenants[0].quota_slots == 3
    assert host.keeper.view.is_confirmed(host.now)
    await store(table, 0)
    await host.run_for(3.0)
    assert host.versions == [0, 1]


async def test_without_a_table_service_the_file_is_in_force(tmp_path: Path) -> None:
    host = Host(None, initial=file_in(tmp_path))
    host.keeper.load_initial()
    await host.run_for(5.0)
    assert host.versions == [0]
    assert not host.keeper.status().confirmed


async def test_a_malformed_document_is_read_once_and_the_last_one_stays() -> None:
    table = FakeTable()
    await store(table, 0)
    host = Host(table)
    await host.run_for(1.0)
    table.put(document_key(2), '{"version": 2}')
    table.put(VERSION_KEY, to_version_json(VersionRow(version=2, author="kofi")))
    table.keys_read.clear()
    await host.run_for(30.0)
    assert host.versions == [1]
    assert table.keys_read.count(document_key(2)) == 1
    assert not host.keeper.view.is_confirmed(host.now)
    await store(table, 2)
    await host.run_for(3.0)
    assert host.versions == [1, 3]


@pytest.mark.parametrize("held_s", [3.0, 3.5, 4.0, 4.5, 5.0])
async def test_a_read_that_the_budget_holds_back_is_made_soon_after(
    held_s: float,
) -> None:
    table = FakeTable()
    await store(table, 0)
    host = Host(table)
    host.budget.may = False
    await host.run_for(held_s)
    host.budget.may = True
    await host.run_for(0.7)
    assert host.versions == [1]


@settings(deadline=None, derandomize=True)
@given(
    offers=st.lists(
        st.builds(
            configuration,
            st.integers(min_value=0, max_value=6),
            st.integers(min_value=1, max_value=2),
        )
    )
)
def test_no_order_of_messages_takes_a_version_back(
    offers: list[SharedConfiguration],
) -> None:
    view = ConfigurationView(confirm_within_s=6.0)
    for offered in offers:
        before = view.current
        outcome = view.offer(offered)
        match outcome:
            case Applied():
                assert before is None or offered.version > before.version
                assert view.current == offered
            case Stale() | Rejected():
                assert view.current == before
                assert before is not None
                assert offered.version <= before.version


def test_confirmation_ages_and_belongs_to_one_version() -> None:
    view = ConfigurationView(confirm_within_s=6.0)
    view.offer(configuration(1))
    assert view.age_s(0.0) is None
    view.confirm(1, 10.0)
    assert view.is_confirmed(16.0)
    assert not view.is_confirmed(16.1)
    view.offer(configuration(2))
    assert not view.is_confirmed(10.0)
    view.confirm(1, 11.0)
    assert view.age_s(12.0) is None


def test_polls_keep_to_their_period_and_spread() -> None:
    times: list[float] = []
    for seed in range(50):
        schedule = PollSchedule(period_s=POLL_S, rng=random.Random(seed))
        assert schedule.is_due(0.0)
        schedule.done(0.0)
        assert not schedule.is_due(1.49)
        assert schedule.is_due(2.51)
        schedule.hinted(0.0)
        assert schedule.is_due(0.51)
        times.append(next(n / 100 for n in range(60) if schedule.is_due(n / 100)))
    assert max(times) - min(times) > 0.3
