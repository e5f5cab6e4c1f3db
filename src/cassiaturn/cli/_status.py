"""The command that shows an instance's status."""

from typing import TYPE_CHECKING

import typer

from cassiaturn.cli._connection import AddressOption, call_instance, read_address
from cassiaturn.cli._output import JsonOption, print_table

if TYPE_CHECKING:
    from grpclib.client import Channel

    from cassiaturn.observability import StatusDocument


def status(to: AddressOption, as_json: JsonOption = False) -> None:
    """Show what an instance serves, whom it sees and what waits.

    Exit codes: 0 shown, 2 wrong option, 6 no answer.
    """
    from cassiaturn.observability import StatusDocument

    text = call_instance(read_address(to), _fetch)
    if as_json:
        typer.echo(text)
        return
    _print(StatusDocument.model_validate_json(text))


async def _fetch(channel: "Channel") -> str:
    from cassiaturn.v1.dispatcher_grpc import OperatorStub
    from cassiaturn.v1.dispatcher_pb2 import StatusRequest

    reply = await OperatorStub(channel).Status(StatusRequest())
    return reply.document_json


def _print(document: "StatusDocument") -> None:
    configuration = document.configuration
    ready = "ready" if document.ready else f"not ready: {document.reason}"
    confirmed = "confirmed" if configuration.confirmed else "not confirmed"
    age = "" if configuration.age_ms is None else f", {configuration.age_ms} ms ago"
    typer.echo(f"{document.instance_id} ({document.incarnation}): {ready}")
    typer.echo(f"failure domain: {document.failure_domain}, state: {document.state}")
    typer.echo(f"configuration version: {configuration.version} ({confirmed}{age})")
    typer.echo(f"table service breaker: {document.store_breaker}")
    typer.echo(f"open submissions: {document.open_submissions}")
    print_table(
        "\nQueues",
        ["Class", "Queued", "Expected wait, ms"],
        [[q.request_class, q.queued, q.expected_wait_ms] for q in document.queues],
    )
    print_table(
        "\nTargets",
        ["Target", "Domain", "Worker", "Holder", "Connected", "Health", "Slots"],
        [
            [
                t.target_id,
                t.failure_domain,
                t.worker,
                t.holder or "(a peer)",
                "yes" if t.connected else "no" if t.holder else "",
                "leaving" if t.leaving else t.health,
                f"{t.slots_in_use}/{t.slots}" if t.holder else "",
            ]
            for t in document.targets
        ],
    )
    print_table(
        "\nPeers",
        ["Peer", "Domain", "State", "Connected", "Free slots", "Queued", "Version"],
        [
            [
                p.instance_id,
                p.failure_domain,
                p.state,
                "yes" if p.connected else "no",
                p.free_slots,
                p.queued,
                p.configuration_version,
            ]
            for p in document.peers
        ],
    )
    print_table(
        "\nTenants",
        ["Tenant", "Running", "Queued", "Quota, slots", "Weight"],
        [
            [t.name, t.running, t.queued, t.quota_slots, f"{t.weight:g}"]
            for t in document.tenants
        ],
    )
