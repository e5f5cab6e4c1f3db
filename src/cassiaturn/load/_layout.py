"""Which process of a run is what, and where it listens."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from cassiaturn.entities import Address
from cassiaturn.load._ports import LOOPBACK, free_ports
from cassiaturn.load._relay import RelayPlace
from cassiaturn.load._scenario import Scenario


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

    platform: Address
    """Where the platform stand-in listens."""

    relays: Sequence[RelayPlace]
    """Relays between failure domains; none where no partition comes."""

    def route(self, source_domain: str, destination: Address) -> Address:
        """Return the address that a failure domain is told of a process.

        :param source_domain: the failure domain that connects.
        :param destination: where the process listens.
        """
        for relay in self.relays:
            is_source = relay.source_domain == source_domain
            if is_source and relay.destination == destination:
                return relay.listen
        return destination

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
    domains = deployment.failure_domains
    hosts = -(-deployment.runners // deployment.runners_per_process)
    processes = deployment.instances + deployment.runners + 1
    own_ports = 2 * deployment.instances + deployment.runners + hosts + 1
    addresses = _addresses(own_ports + len(domains) * processes)
    instances = [
        InstancePlace(
            instance_id=f"{domains[index % len(domains)]}-{index}",
            failure_domain=domains[index % len(domains)],
            address=next(addresses),
            http=next(addresses),
        )
        for index in range(deployment.instances)
    ]
    runners = [
        RunnerPlace(
            target_id=f"runner-{index}",
            failure_domain=domains[index % len(domains)],
            address=next(addresses),
            host=index // deployment.runners_per_process,
            journal=directory / f"runner-{index}.jsonl",
        )
        for index in range(deployment.runners)
    ]
    platform = next(addresses)
    places = [_Destination(place.address, place.failure_domain) for place in instances]
    places += [_Destination(place.address, place.failure_domain) for place in runners]
    places.append(_Destination(platform, ""))
    return Layout(
        directory=directory,
        instances=instances,
        runners=runners,
        control_ports=[next(addresses).port for _ in range(hosts)],
        platform=platform,
        relays=list(_plan_relays(scenario, places, addresses)),
    )


@dataclass(frozen=True, slots=True)
class _Destination:
    """A process that others connect to."""

    address: Address
    """Where it listens."""

    failure_domain: str
    """The failure domain that it is in; empty: the platform."""


def _addresses(count: int) -> Iterator[Address]:
    for port in free_ports(count):
        yield Address(host=LOOPBACK, port=port)


def _plan_relays(
    scenario: Scenario,
    destinations: Sequence[_Destination],
    addresses: Iterator[Address],
) -> Iterator[RelayPlace]:
    if not scenario.has_partition:
        return
    for domain in scenario.deployment.failure_domains:
        for destination in destinations:
            if destination.failure_domain != domain:
                yield RelayPlace(
                    listen=next(addresses),
                    destination=destination.address,
                    source_domain=domain,
                    destination_domain=destination.failure_domain,
                )
