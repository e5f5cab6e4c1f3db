"""Commands that run one stand-in each."""

import asyncio
import signal
from pathlib import Path
from typing import Annotated, Protocol

import typer
import uvloop
import yaml

from cassiaturn.standins._platform import PlatformStandIn
from cassiaturn.standins._platform_settings import PlatformSettings
from cassiaturn.standins._runner_host import RunnerHost
from cassiaturn.standins._runner_settings import RunnerHostSettings

app = typer.Typer(help="Run small stand-ins for targets and the platform.")

SettingsOption = Annotated[
    Path, typer.Option("--settings", help="YAML file with the stand-in's settings.")
]


class StandIn(Protocol):
    """What all stand-ins have in common."""

    async def start(self) -> None:
        """Open the ports."""

    async def close(self) -> None:
        """Close the ports."""


async def run_until_signal(stand_in: StandIn) -> None:
    """Run a stand-in until SIGTERM or SIGINT.

    :param stand_in: one that is not started yet.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stand_in.start()
    print("event=standin_ready", flush=True)
    await stopped.wait()
    await stand_in.close()


@app.command()
def runners(settings: SettingsOption) -> None:
    """Run the runners of one process."""
    document = yaml.safe_load(settings.read_text())
    host = RunnerHost(settings=RunnerHostSettings.model_validate(document))
    uvloop.run(run_until_signal(host))


@app.command()
def platform(settings: SettingsOption) -> None:
    """Run the table service, object store and list of hosts."""
    document = yaml.safe_load(settings.read_text()) or {}
    stand_in = PlatformStandIn(settings=PlatformSettings.model_validate(document))
    uvloop.run(run_until_signal(stand_in))
