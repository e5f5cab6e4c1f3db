import asyncio

from cassiaturn.entities import Address
from cassiaturn.standins import RunnerHost, RunnerHostSettings, RunnerSettings
from cassiaturn.targets import fence


def test_host_that_is_made_before_its_loop_serves() -> None:
    host = RunnerHost(
        settings=RunnerHostSettings(runners=[RunnerSettings(target_id="t", port=0)])
    )

    async def ask() -> str:
        await host.start()
        address = Address(host="127.0.0.1", port=host.runners_by_id["t"].port)
        reply = await fence(address=address, home="home", timeout_s=2.0)
        await host.close()
        return reply.unwrap().target_id

    assert asyncio.run(ask()) == "t"
