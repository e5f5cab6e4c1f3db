"""Which process of a run is what, listens where and is told what."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from importlib.resources import files
from pathlib import Path
from typing import Any

import yaml
from pydantic import TypeAdapter

from cassiaturn.entities import Address
from cassiaturn.load._ports import LOOPBACK, free_ports
from cassiaturn.load._scenario import Scenario
from cassiaturn.standins import RunTime

_RUN_TIME = TypeAdapter(RunTime)

SCHEMAS = (
    files("cassiaturn_examples") / "kwabena" / "props.binpb",
    files("cassiaturn_examples") / "registre" / "register.binpb",
)
"""Descriptor sets of both example schemas."""


@dataclass(frozen=True, slots=True, kw_only=True)
class InstancePlace:
    """One instance."""

    instance_id: str
    """Its name."""

    failure_domain: str
    """The failure domain that it is in."""

    address: Address
    """Where it serves callers and peers."""

    http: Address
    """Where it serves its pages."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RunnerPlace:
    """One runner."""

    target_id: str
    """Its name."""

    failure_domain: str
    """The failure domain that it is in."""

    address: Address
    """Where it listens."""

    host: int
    """Index of the process that hosts it."""

    journal: Path
    """Its journal."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """Everything that a run starts."""

    directory: Path
    """Settings, logs and journals."""

    instances: Sequence[InstancePlace]
    """Instances."""

    runners: Sequence[RunnerPlace]
    """Runners."""

    control_ports: Sequence[int]
    """Control port of each process that hosts runners."""

    platform_port: int
    """Port of the platform stand-in."""

    def settings_of(self, name: str) -> Path:
        """Return the settings file of a process."""
        return self.directory / f"{name}.yaml"

    def log_of(self, name: str) -> Path:
        """Return the file with the output of a process."""
        return self.directory / f"{name}.log"

    def hosted_by(self, host: int) -> Sequence[RunnerPlace]:
        """Return the runners of one process."""
        return [runner for runner in self.runners if runner.host == host]


def plan_layout(scenario: Scenario, directory: Path) -> Layout:
    """Deal instances and runners to failure domains and choose free ports.

    :param scenario: the deployment.
    :param directory: an empty directory for the files of the run.
    """
    deployment = scenario.deployment
    hosts = -(-deployment.runners // deployment.runners_per_process)
    ports = iter(free_ports(2 * deployment.instances + deployment.runners + hosts + 1))
    domains = deployment.failure_domains
    instances = [
        InstancePlace(
            instance_id=f"{domains[index % len(domains)]}-{index}",
            failure_domain=domains[index % len(domains)],
            address=Address(host=LOOPBACK, port=next(ports)),
            http=Address(host=LOOPBACK, port=next(ports)),
        )
        for index in range(deployment.instances)
    ]
    runners = [
        RunnerPlace(
            target_id=f"runner-{index}",
            failure_domain=domains[index % len(domains)],
            address=Address(host=LOOPBACK, port=next(ports)),
            host=index // deployment.runners_per_process,
            journal=directory / f"runner-{index}.jsonl",
        )
        for index in range(deployment.runners)
    ]
    return Layout(
        directory=directory,
        instances=instances,
        runners=runners,
        control_ports=[next(ports) for _ in range(hosts)],
        platform_port=next(ports),
    )


def write_settings(scenario: Scenario, layout: Layout) -> None:
    """Write the settings files of every process.

    :param scenario: what to tell them.
    :param layout: where they stand.
    """
    deployment = scenario.deployment
    _write(layout, "platform", _platform_document(scenario, layout))
    for host in range(len(layout.control_ports)):
        _write(layout, f"runners-{host}", _host_document(scenario, layout, host))
    slots = deployment.runners * deployment.slots
    tenants = [{"name": name, "quota_slots": slots} for name in scenario.tenants]
    _write(layout, "configuration", {"tenants": tenants})
    for place in layout.instances:
        _write(layout, place.instance_id, _instance_document(scenario, layout, place))


def _write(layout: Layout, name: str, document: Mapping[str, Any]) -> None:
    layout.settings_of(name).write_text(yaml.safe_dump(document, sort_keys=False))


def _platform_document(scenario: Scenario, layout: Layout) -> Mapping[str, Any]:
    return {
        "port": layout.platform_port,
        "writes_per_s": scenario.deployment.store_writes_per_s,
        "reads_per_s": scenario.deployment.store_reads_per_s,
        "seed": scenario.seed,
        "hosts": [
            {
                "host_id": place.instance_id,
                "host": place.address.host,
                "port": place.address.port,
                "failure_domain": place.failure_domain,
                "state": "live",
            }
            for place in layout.instances
        ],
    }


def _host_document(scenario: Scenario, layout: Layout, host: int) -> Mapping[str, Any]:
    return {
        "control_port": layout.control_ports[host],
        "seed": scenario.seed,
        "run_times_by_method": {
            flow.method: _RUN_TIME.dump_python(flow.run_time, mode="json")
            for flow in scenario.flows
        },
        "runners": [
            {
                "target_id": runner.target_id,
                "port": runner.address.port,
                "slots": scenario.deployment.slots,
                "journal": str(runner.journal),
            }
            for runner in layout.hosted_by(host)
        ],
    }


def _instance_document(
    scenario: Scenario, layout: Layout, place: InstancePlace
) -> Mapping[str, Any]:
    platform_url = f"http://{LOOPBACK}:{layout.platform_port}"
    return {
        "instance_id": place.instance_id,
        "failure_domain": place.failure_domain,
        "listen": str(place.address),
        "http": str(place.http),
        "schemas": [str(schema) for schema in SCHEMAS],
        "configuration_file": str(layout.settings_of("configuration")),
        "platform": {
            "table_url": platform_url,
            "objects_url": platform_url,
            "hosts_url": platform_url,
        },
        "timings": dict(scenario.deployment.timings),
        "peers": [
            {
                "instance_id": other.instance_id,
                "address": str(other.address),
                "failure_domain": other.failure_domain,
            }
            for other in layout.instances
            if other is not place
        ],
        "targets": [
            {
                "target_id": runner.target_id,
                "address": str(runner.address),
                "failure_domain": runner.failure_domain,
                "worker": f"worker-{number}",
                "slots": scenario.deployment.slots,
            }
            for number, runner in enumerate(layout.runners)
        ],
    }
