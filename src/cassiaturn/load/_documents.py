"""The settings files of the processes of a run."""

from collections.abc import Mapping, Sequence
from importlib.resources import files
from typing import Any

import yaml
from pydantic import TypeAdapter

from cassiaturn.load._layout import InstancePlace, Layout
from cassiaturn.load._scenario import Scenario
from cassiaturn.standins import RunTime

_RUN_TIME = TypeAdapter(RunTime)

SCHEMAS = (
    files("cassiaturn_examples") / "kwabena" / "props.binpb",
    files("cassiaturn_examples") / "registre" / "register.binpb",
)
"""Descriptor sets of both example schemas."""


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
        "port": layout.platform.port,
        "writes_per_s": scenario.deployment.store_writes_per_s,
        "reads_per_s": scenario.deployment.store_reads_per_s,
        "seed": scenario.seed,
        "hosts": [_listed_host(place) for place in _listed(scenario, layout)],
    }


def _listed(scenario: Scenario, layout: Layout) -> Sequence[InstancePlace]:
    # The list has one address for a host, whoever asks; with it, instances would
    # connect past the relays, and a partition would cut nothing.
    return () if scenario.has_partition else layout.instances


def _listed_host(place: InstancePlace) -> Mapping[str, Any]:
    return {
        "host_id": place.instance_id,
        "host": place.address.host,
        "port": place.address.port,
        "failure_domain": place.failure_domain,
        "state": "live",
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
    domain = place.failure_domain
    platform_url = f"http://{layout.route(domain, layout.platform)}"
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
                "address": str(layout.route(domain, other.address)),
                "failure_domain": other.failure_domain,
            }
            for other in layout.instances
            if other is not place
        ],
        "targets": [
            {
                "target_id": runner.target_id,
                "address": str(layout.route(domain, runner.address)),
                "failure_domain": runner.failure_domain,
                "worker": f"worker-{number}",
                "slots": scenario.deployment.slots,
            }
            for number, runner in enumerate(layout.runners)
        ],
    }
