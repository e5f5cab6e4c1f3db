"""A small deployment: stand-ins in this process, the dispatchers as processes."""

import asyncio
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from runner import Runner
from store import Store
from web import Channel, now_s

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "desk.example"
PREFIX = "/jobs/"
SERVICE = "settle"
RESEND_S = 1.3
MAX_CASE_S = 110.0
RESTART_DELAY_S = 0.5
CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "rating",
            "host": HOST_NAME,
            "prefix": PREFIX,
            "service": SERVICE,
            "timeoutMs": 15_000,
            "targetLatencyMs": 60,
            "priority": 0,
            "maxAttempts": 4,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": SERVICE, "admissionCheck": True, "maxConnections": 64}],
    "limits": {},
}


class CannotRunError(Exception):
    """The case could not run, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = now_s()

    def __call__(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{now_s() - self._began_at:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """End the record."""
        self._file.close()


def job_document(count: int, work_s: float, **fields: Any) -> dict[str, Any]:
    """Return a best-effort job of one step; its runners work as long as it says."""
    step = {
        "count": count,
        "cpu": 6800,
        "memMb": 64,
        "estimatedMs": round(work_s * 1000),
        **fields,
    }
    return {"taskSpec": str(work_s), "bestEffort": True, "steps": [step]}


def free_port(host: str) -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Member:
    """One dispatcher, started by the command of the deploy file."""

    def __init__(self, name: str, zone: str, ip: str, ports: dict[str, int]) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = f"{ip}:{ports['front']}"
        self.ready = f"{ip}:{ports['ready']}"
        self.control = f"{ip}:{ports['control']}"
        self.process: subprocess.Popen[bytes] | None = None
        self.own_ends = 0

    def fields(self, store: str, seeds: list[str]) -> dict[str, Any]:
        """Return the fields from which the platform fills the template."""
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "seeds": seeds,
            "platform.address": store,
            "limits.linkMbps": 100.0,
            "limits.cpuShare": 0.537,
            "limits.cores": 2,
            "bounds.graceS": 6,
            "bounds.farX": 2,
            "bounds.holdMaxMs": 1000,
            "orders": "call",
        }


def fill_template(template: str, fields: dict[str, Any]) -> str:
    """Fill a settings template as the platform does."""

    def section(match: re.Match[str]) -> str:
        name, inner = match.group(1), match.group(2)
        value = fields.get(name)
        if not value:
            return ""
        if not isinstance(value, list):
            return inner
        parts = [inner.replace("{{.}}", str(entry)) for entry in value]
        return "".join(
            part.replace("{{,}}", "," if place < len(parts) - 1 else "")
            for place, part in enumerate(parts)
        )

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.DOTALL)
    return re.sub(r"{{([\w.]+)}}", lambda m: str(fields.get(m.group(1), "")), text)


class Deployment:
    """A store, runners and dispatchers on loopback addresses."""

    def __init__(self, folder: Path, *, members: int = 3) -> None:
        self.record = Record(folder)
        if not (ROOT / "target/deps/cassiaturn").is_dir():
            raise CannotRunError("run the build of the deploy file first")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["dispatcher"]
        self._is_closed = False
        self._work = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store(host="127.0.0.1")
        self.runners: list[Runner] = []
        # Addresses of its own: the port for metrics is fixed in the template.
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        ips = [f"{net}.{number}" for number in range(11, 11 + members)]
        ports = {name: free_port(ips[0]) for name in ("front", "ready", "control")}
        self.members = [
            Member(f"front-{place}", f"zone-{place}", ip, ports)
            for place, ip in enumerate(ips)
        ]

    def add_runner(self, runner_id: str, *, zone: str, **options: Any) -> Runner:
        """Add a runner; :meth:`start` boots it."""
        runner = Runner(
            id=runner_id,
            zone=zone,
            store=self.store,
            host="127.0.0.1",
            service=SERVICE,
            log=self.record,
            **options,
        )
        self.runners.append(runner)
        return runner

    async def start(
        self,
        configuration: dict[str, Any] = CONFIGURATION,
        *,
        runners_up_for_s: float = 0.0,
    ) -> None:
        """Start everything, and wait until each dispatcher is ready."""
        await self.store.server.start()
        self.store.put("op", "config", configuration)
        for runner in self.runners:
            await runner.boot(up_for_s=runners_up_for_s)
        for member in self.members:
            self.start_member(member)
        for member in self.members:
            await self.wait_until_ready(member)
        await asyncio.sleep(1.0)
        self.record("all dispatchers are ready")

    def start_member(self, member: Member) -> None:
        """Start a dispatcher's process."""
        if self._is_closed:
            return
        template = (ROOT / self._role["template"]).read_text()
        seeds = [other.control for other in self.members][:3]
        fields = member.fields(self.store.server.address, seeds)
        path = Path(self._work.name) / f"{member.name}.conf"
        path.write_text(fill_template(template, fields))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CASSIATURN_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = (Path(self._work.name) / f"{member.name}.log").open("ab")
        member.process = subprocess.Popen(
            self._role["run"].split(" "),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record(f"dispatcher {member.name} started, process {member.process.pid}")

    async def restart_ended(self) -> None:
        """Start dispatchers again that have ended by themselves, until cancelled."""
        while True:
            for member in self.members:
                process = member.process
                if process is not None and process.poll() is not None:
                    member.own_ends += 1
                    self.record(
                        f"dispatcher {member.name} ended by itself with code"
                        f" {process.returncode}, time {member.own_ends}"
                    )
                    member.process = None
                    asyncio.get_running_loop().call_later(
                        RESTART_DELAY_S, self.start_member, member
                    )
            await asyncio.sleep(0.02)

    async def wait_until_ready(self, member: Member) -> None:
        """Wait until a dispatcher takes callers.

        :raises CannotRunError: it does not within 15 s.
        """
        end_at = now_s() + 15.0
        while now_s() < end_at:
            channel = Channel(address=member.ready)
            try:
                status, _ = await channel.call(
                    "GET",
                    "/api/readiness",
                    headers={"Host": member.ready},
                    timeout_s=1.0,
                )
                if status == 200:
                    return
            except (OSError, TimeoutError):
                pass
            finally:
                channel.close()
            await asyncio.sleep(0.05)
        raise CannotRunError(
            f"{member.name} is not ready: {self.log_of(member)[-500:]}"
        )

    def log_of(self, member: Member) -> str:
        """Return what a dispatcher has written."""
        path = Path(self._work.name) / f"{member.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def request(
        self,
        member: Member,
        method: str,
        path: str,
        *,
        document: Any = None,
        limit_s: float,
    ) -> tuple[int, str] | None:
        """Make one client's request on a new channel; None: it got no answer."""
        channel = Channel(address=member.front)
        headers = {
            "Host": HOST_NAME,
            "X-Cassiaturn-Deadline-Ms": str(round(limit_s * 1000)),
        }
        self.record(f"client sends {method} {path} to {member.name}")
        try:
            answer = await channel.call(
                method, path, headers=headers, document=document, timeout_s=limit_s
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f"client has no answer to {method} {path}: {error!r}")
            return None
        finally:
            channel.close()
        self.record(f"client gets {answer[0]} {answer[1]} to {method} {path}")
        return answer

    async def close(self, folder: Path) -> None:
        """End every process that this deployment started."""
        self._is_closed = True
        for member in self.members:
            process = member.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for member in self.members:
            (folder / f"{member.name}.log").write_text(self.log_of(member))
        for runner in self.runners:
            runner.close()
            await runner.server.stop()
        await self.store.server.stop()
        self._work.cleanup()
        self.record.close()


def is_troubled() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


Case = Callable[[Deployment], Awaitable[list[str]]]
"""Plays a case; returns each breach of the rule in words."""


async def _play(case: Case, folder: Path, members: int) -> list[str]:
    playing = asyncio.current_task()
    loop = asyncio.get_running_loop()
    if playing is not None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, playing.cancel)
    deployment = Deployment(folder, members=members)
    try:
        async with asyncio.timeout(MAX_CASE_S):
            return await case(deployment)
    finally:
        await deployment.close(folder)


def run_case(case: Case, folder: Path, *, members: int = 3) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it didn't run.

    :param folder: the case's folder, for its record.
    :param members: number of dispatchers.
    """
    began_at = now_s()
    try:
        breaches = asyncio.run(_play(case, folder, members))
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaches[:5]:
        print(f"BROKEN: {text}")
    if len(breaches) > 5:
        print(f"and {len(breaches) - 5} more, see record.txt")
    held = "broken" if breaches else "held"
    print(f"rule {held} after {now_s() - began_at:.0f} s")
    sys.exit(1 if breaches else 0)
