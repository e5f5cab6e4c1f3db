import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.pipeline import is_successful

from cassiaturn.configuration import (
    SharedConfiguration,
    Superseded,
    Undetermined,
    document_key,
    from_json,
    propose,
    read_current,
    to_json,
)
from cassiaturn.configuration.tests.fakes import FakeTable, content
from cassiaturn.configuration.tests.test_keeper import Host

HOSTS = 3

ValueT = TypeVar("ValueT")

host_index = st.integers(min_value=0, max_value=HOSTS - 1)


class FleetMachine(RuleBasedStateMachine):
    """Hosts, operators and a table that fails, in any order.

    Operators propose against the version they last saw, so some are late, and
    some write at once; answers are lost; the table goes down; hosts restart;
    heartbeats and documents of peers come late. What was accepted is in force
    everywhere once the table is back, and no host ever takes it back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        self.accepted: dict[int, SharedConfiguration] = {}
        self.seen_by_operator = {"ama": 0, "kofi": 0}
        self.proposals = 0

    def teardown(self) -> None:
        self.loop.close()

    def run(self, coroutine: Coroutine[Any, Any, ValueT]) -> ValueT:
        return self.loop.run_until_complete(coroutine)

    @initialize()
    def start(self) -> None:
        self.propose("ama")
        self.hosts = [Host(self.table) for _ in range(HOSTS)]

    @rule(operator=st.sampled_from(["ama", "kofi"]))
    def propose(self, operator: str) -> None:
        self.run(self._propose(operator))

    @rule()
    def propose_at_once(self) -> None:
        self.seen_by_operator = dict.fromkeys(
            self.seen_by_operator, max(self.accepted, default=0)
        )
        self.table.before_next_write = lambda: self._propose("kofi")
        self.run(self._propose("ama"))
        self.table.before_next_write = None

    @rule(operator=st.sampled_from(["ama", "kofi"]))
    def look(self, operator: str) -> None:
        current = self.run(read_current(self.table))
        if is_successful(current):
            self.seen_by_operator[operator] = current.unwrap().row.version

    @rule(before=st.integers(0, 6), after=st.integers(0, 2))
    def lose_answers(self, before: int, after: int) -> None:
        self.table.lost_before_effect = before
        self.table.lost_after_effect = after

    @rule(is_down=st.booleans())
    def turn(self, is_down: bool) -> None:
        self.table.is_down = is_down

    @rule(index=host_index, duration_s=st.floats(min_value=0.1, max_value=3.0))
    def pass_time(self, index: int, duration_s: float) -> None:
        self.run(self.hosts[index].run_for(duration_s))

    @rule(index=host_index)
    def restart(self, index: int) -> None:
        self.hosts[index] = Host(self.table)

    @rule(index=host_index, peer=host_index)
    def hear_of_a_peer(self, index: int, peer: int) -> None:
        held = self.hosts[peer].keeper.view.current
        if held is not None:
            self.hosts[index].highest_at_peers = held.version
            self.hosts[index].document_at_peers = to_json(held)

    @rule()
    def heal(self) -> None:
        self.table.is_down = False
        for host in self.hosts:
            self.run(host.run_for(5.0))
        newest = max(self.accepted)
        for host in self.hosts:
            assert host.keeper.version == newest
            assert host.keeper.view.is_confirmed(host.now)

    @invariant()
    def no_host_takes_a_version_back(self) -> None:
        for host in getattr(self, "hosts", []):
            assert host.versions == sorted(set(host.versions))

    @invariant()
    def every_host_holds_what_was_accepted(self) -> None:
        for host in getattr(self, "hosts", []):
            for applied in host.applied:
                assert applied == self.accepted[applied.version]

    async def _propose(self, operator: str) -> None:
        self.proposals += 1
        number = self.proposals
        outcome = await propose(
            table=self.table,
            content=content(quota_slots=number),
            author=operator,
            expected_version=self.seen_by_operator[operator],
            token=str(number),
            pause=self._no_pause,
        )
        if is_successful(outcome):
            won = outcome.unwrap()
            assert won.version not in self.accepted
            self.accepted[won.version] = won
            self.seen_by_operator[operator] = won.version
            return
        match outcome.failure():
            case Superseded(winner=winner):
                assert winner > self.seen_by_operator[operator]
            case Undetermined(version=version):
                # The table could be read, and the attempt is not in it.
                key = document_key(version)
                held = self.table.rows_by_key.get(key)
                assert held is None or from_json(key, held.value).unwrap() in (
                    self.accepted.values()
                )

    async def _no_pause(self, _: float) -> None:
        await asyncio.sleep(0)


def test_no_order_of_failures_reverts_or_splits_the_configuration() -> None:
    run_state_machine_as_test(
        FleetMachine,
        settings=settings(
            max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
        ),
    )
