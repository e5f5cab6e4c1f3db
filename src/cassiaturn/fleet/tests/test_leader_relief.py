"""Tests when a leader asks another member to lead, and which."""

from types import SimpleNamespace
from typing import Any

import pytest

from cassiaturn.fleet._drains import CurrentDrains
from cassiaturn.fleet._follower import Follower
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._leader_relief import LeaderRelief
from cassiaturn.fleet._leadership import Leadership
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._service import FleetService
from cassiaturn.observability import FleetMetrics
from cassiaturn.sharing import CpuLoad, HostCapacity
from cassiaturn.v1 import fleet_pb2 as pb

LEADERSHIP = Leadership(token=1, term=0, member_id="own", address="10.0.0.1:1")


class _Leading:
    """A leader and one follower."""

    def __init__(self, own_cores: float, cpu_cores: float, link_mbps: float = 12.5):
        member: Any = self
        self.settings: Any = HostCapacity(link_mbps=12.5, cpu_cores=own_cores)
        self.service = FleetService(
            member=member,
            routing=CurrentRouting(),
            drains=CurrentDrains(),
            load=LeaderLoad(
                metrics=FleetMetrics(member_name="own", failure_domain="a")
            ),
            host=self.settings,
        )
        self.leader: Any = SimpleNamespace(
            leadership=LEADERSHIP, reports_by_id={"t": None}, holds_inherited_jobs=False
        )
        self.is_stopping = False
        self.cpu_load = CpuLoad()
        self.relief = LeaderRelief(member=self, cpu_load=self.cpu_load)
        hello = pb.Hello(member_id="m", cpu_cores=cpu_cores, link_mbps=link_mbps)
        self.follower = Follower(
            hello=hello, feed=self.service._feed, routing=self.service._routing_feed
        )
        self.service._followers_by_id["m"] = self.follower

    async def inform_follower(self) -> None:
        while not self.follower.is_informed:
            await self.follower.next_frame(pb.LeaderBeat)

    @property
    def asked(self) -> list[str]:
        return sorted(self.relief.requests_by_reason.elements())


async def test_unfit_leader_asks_once_a_fitter_member_has_the_lists() -> None:
    """Guards against callers that wait until a weak leader's processor is full.

    A member that was not sent the lists would hold back every inherited job.
    """
    leading = _Leading(1.0, 2.15)
    leading.relief.check_fitness()
    assert leading.asked == []
    await leading.inform_follower()
    leading.relief.check_fitness()
    leading.relief.check_fitness()
    assert leading.asked == ["unfit"]
    queued = await leading.follower.next_frame(pb.LeaderBeat)
    assert queued.frame.HasField("hand_over")


@pytest.mark.parametrize("cpu_cores", [0.0, 0.387, 1.0, 2.0, float("nan"), 5_000.0])
async def test_idle_leader_is_not_unfit_within_a_factor_of_two(
    cpu_cores: float,
) -> None:
    """Guards against a change of leader that helps no caller."""
    leading = _Leading(1.0, cpu_cores)
    await leading.inform_follower()
    leading.relief.check_fitness()
    assert leading.asked == []


@pytest.mark.parametrize(("inherited", "stopping"), [(True, False), (False, True)])
async def test_unfit_leader_waits(inherited: bool, stopping: bool) -> None:
    """Guards against inherited jobs that are held back by two leaders in turn."""
    leading = _Leading(1.0, 2.15)
    leading.leader.holds_inherited_jobs = inherited
    leading.is_stopping = stopping
    await leading.inform_follower()
    leading.relief.check_fitness()
    assert leading.asked == []


@pytest.mark.parametrize(
    ("own_cores", "cpu_cores", "link_mbps", "follower_busy", "expected"),
    [
        (1.0, 2.0, 12.5, 0.0, ["processor_full"]),
        (1.0, 1.9, 12.5, 0.0, []),  # less than twice the processor capacity
        (2.0, 1.0, 12.5, 0.0, []),  # it would hand the leadership back
        (1.0, 0.0, 100.0, 0.0, []),  # not reported
        (0.0, 2.0, 12.5, 0.0, []),  # its own is not known
        (1.0, 2.0, 6.0, 0.0, []),  # the other link would be full next
        (1.0, 2.0, 12.5, 0.7, []),  # the other processor is full
    ],
)
def test_leader_with_a_full_processor_asks_a_member_with_twice_its_capacity(
    own_cores: float,
    cpu_cores: float,
    link_mbps: float,
    follower_busy: float,
    expected: list[str],
) -> None:
    """Guards against a leader that goes on although another host has the capacity."""
    leading = _Leading(own_cores, cpu_cores, link_mbps)
    leading.follower.note_load(pb.FollowerBeat(cpu_used=follower_busy))
    leading.cpu_load.busy_share = 0.7
    leading.relief.check_load(0.0)
    leading.relief.check_load(0.0)
    assert leading.asked == expected


@pytest.mark.parametrize(
    ("own_cores", "cpu_cores", "expected"),
    [(0.0, 0.0, ["link_full"]), (0.0, 0.4, ["link_full"]), (1.0, 0.4, [])],
)
def test_leader_with_a_full_link_passes_over_small_processors(
    own_cores: float, cpu_cores: float, expected: list[str]
) -> None:
    """Guards against a wide link on a host that hands over for its processor next."""
    leading = _Leading(own_cores, cpu_cores, link_mbps=100.0)
    leading.relief.check_load(9.0)
    assert leading.asked == expected
