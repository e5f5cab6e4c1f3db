"""Tests when a leader asks another member to lead, and which."""

from types import SimpleNamespace
from typing import Any

import pytest

from cassiaturn.fleet._drains import CurrentDrains
from cassiaturn.fleet._follower import Follower
from cassiaturn.fleet._leader_load import LeaderLoad
from cassiaturn.fleet._leader_relief import LeaderRelief
from cassiaturn.fleet._routing import CurrentRouting
from cassiaturn.fleet._service import FleetService
from cassiaturn.observability import FleetMetrics
from cassiaturn.sharing import CpuLoad, HostCapacity
from cassiaturn.v1 import fleet_pb2 as pb


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
            leadership=None, reports_by_id={"t": None}, holds_inherited_jobs=False
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


@pytest.mark.parametrize(
    ("cpu_cores", "inherited", "stopping"),
    [(2.15, True, False), (2.15, False, True)]
    + [(cores, False, False) for cores in (0.0, 0.387, 2.0, float("nan"), 5_000.0)],
)
async def test_idle_leader_goes_on(
    cpu_cores: float, inherited: bool, stopping: bool
) -> None:
    """Guards against a change of leader that helps no caller.

    Two leaders in turn would hold inherited jobs back twice.
    """
    leading = _Leading(1.0, cpu_cores)
    leading.leader.holds_inherited_jobs = inherited
    leading.is_stopping = stopping
    await leading.inform_follower()
    leading.relief.check_fitness()
    assert leading.asked == []


@pytest.mark.parametrize(
    ("own_cores", "cpu_cores", "link_mbps", "sent_mbps", "busy_share", "expected"),
    [
        (1.0, 2.0, 12.5, 0.0, 0.0, ["processor_full"]),
        (1.0, 1.9, 12.5, 0.0, 0.0, []),  # less than twice the processor capacity
        (2.0, 1.0, 12.5, 0.0, 0.0, []),  # it would hand the leadership back
        (1.0, 0.0, 100.0, 0.0, 0.0, []),  # not reported
        (0.0, 2.0, 12.5, 0.0, 0.0, []),  # its own is not known
        (1.0, 2.0, 6.0, 0.0, 0.0, []),  # the other link would be full next
        (1.0, 2.0, 12.5, 0.0, 0.7, []),  # the other processor is full
        (0.0, 0.0, 100.0, 9.0, 0.0, ["link_full"]),
        (0.0, 0.4, 100.0, 9.0, 0.0, ["link_full"]),
        (1.0, 0.4, 100.0, 9.0, 0.0, []),  # the other processor would be full next
    ],
)
def test_full_leader_asks_only_a_member_that_relieves_it(
    own_cores: float,
    cpu_cores: float,
    link_mbps: float,
    sent_mbps: float,
    busy_share: float,
    expected: list[str],
) -> None:
    """Guards against a full leader that goes on, or hands over to a worse host."""
    leading = _Leading(own_cores, cpu_cores, link_mbps)
    leading.follower.note_load(pb.FollowerBeat(cpu_used=busy_share))
    leading.cpu_load.busy_share = 0.7
    leading.relief.check_load(sent_mbps)
    leading.relief.check_load(sent_mbps)
    assert leading.asked == expected
