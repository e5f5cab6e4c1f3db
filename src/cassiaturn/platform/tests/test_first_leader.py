"""Tests of a member that starts while most of the fleet does not answer."""

import pytest

from cassiaturn.fleet import _member
from cassiaturn.platform.tests.fleet import Fleet


async def test_a_process_that_has_just_started_does_not_wait_for_silent_peers(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a fleet without a leader while hosts come back after a power loss.

    The row names a leader whose process has ended, and the other members' hosts do not
    answer.
    """
    monkeypatch.setattr(_member, "LOOK_TIMEOUT_S", 60.0)
    await fleet.kill(fleet.leader())
    for member in fleet.members:
        member.freeze_host()
    started = await fleet.add_member("started")
    await fleet.until(lambda: started.member.leader is not None)
    await fleet.until(lambda: started.member.leader_hears_targets == 4)
