"""What each kind of fault does, and what ends it."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from cassiaturn.load._layout import RunnerPlace
from cassiaturn.load._relay import Relay
from cassiaturn.load._scenario import Fault, FaultKind
from cassiaturn.load._site import Site
from cassiaturn.standins import FaultRequest, PlatformFault, RunnerFault

_Action = Callable[[Site, Fault], Awaitable[None]]

_BEGIN_BY_KIND: dict[FaultKind, _Action] = {}
_END_BY_KIND: dict[FaultKind, _Action] = {}


async def run_faults(site: Site, faults: Sequence[Fault]) -> None:
    """Cause every fault of a scenario at its time, and end it at its time.

    :param site: where the faults are caused.
    :param faults: in any order; the load begins now.
    """
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            group.create_task(_run_fault(site, fault))


async def _run_fault(site: Site, fault: Fault) -> None:
    await asyncio.sleep(fault.at_s)
    await _BEGIN_BY_KIND[fault.kind](site, fault)
    if fault.for_s and fault.kind in _END_BY_KIND:
        await asyncio.sleep(fault.for_s)
        await _END_BY_KIND[fault.kind](site, fault)


def _begins(kind: FaultKind) -> Callable[[_Action], _Action]:
    def register(action: _Action) -> _Action:
        _BEGIN_BY_KIND[kind] = action
        return action

    return register


def _ends(*kinds: FaultKind) -> Callable[[_Action], _Action]:
    def register(action: _Action) -> _Action:
        for kind in kinds:
            _END_BY_KIND[kind] = action
        return action

    return register


@_begins(FaultKind.KILL_INSTANCE)
async def _kill_instance(site: Site, fault: Fault) -> None:
    site.instances[fault.index].kill()


@_ends(FaultKind.KILL_INSTANCE, FaultKind.STOP_INSTANCE)
async def _start_instance(site: Site, fault: Fault) -> None:
    await site.instances[fault.index].start()


@_begins(FaultKind.PAUSE_INSTANCE)
async def _pause_instance(site: Site, fault: Fault) -> None:
    site.instances[fault.index].pause()


@_ends(FaultKind.PAUSE_INSTANCE)
async def _resume_instance(site: Site, fault: Fault) -> None:
    site.instances[fault.index].resume()


@_begins(FaultKind.STOP_INSTANCE)
async def _stop_instance(site: Site, fault: Fault) -> None:
    await site.stop_instance(fault.index)


@_begins(FaultKind.RESTART_INSTANCE)
async def _restart_instance(site: Site, fault: Fault) -> None:
    await site.stop_instance(fault.index)
    await site.instances[fault.index].start()
    await site.wait_ready(fault.index)


@_begins(FaultKind.KILL_RUNNER)
async def _kill_runner(site: Site, fault: Fault) -> None:
    site.runner_hosts[_runner(site, fault).host].kill()


@_ends(FaultKind.KILL_RUNNER)
async def _start_runner(site: Site, fault: Fault) -> None:
    await site.runner_hosts[_runner(site, fault).host].start()


@_begins(FaultKind.PAUSE_RUNNER)
async def _pause_runner(site: Site, fault: Fault) -> None:
    site.runner_hosts[_runner(site, fault).host].pause()


@_ends(FaultKind.PAUSE_RUNNER)
async def _resume_runner(site: Site, fault: Fault) -> None:
    site.runner_hosts[_runner(site, fault).host].resume()


@_begins(FaultKind.LEAVE)
async def _leave(site: Site, fault: Fault) -> None:
    await _set_runner_fault(site, fault, RunnerFault(leaving=True))


@_begins(FaultKind.SLOW)
async def _slow(site: Site, fault: Fault) -> None:
    await _set_runner_fault(site, fault, RunnerFault(slow_factor=fault.amount))


@_begins(FaultKind.FAIL_EVERYTHING)
async def _fail_everything(site: Site, fault: Fault) -> None:
    await _set_runner_fault(site, fault, RunnerFault(fail_everything=True))


@_begins(FaultKind.FREEZE_ANSWERS)
async def _freeze_answers(site: Site, fault: Fault) -> None:
    await _set_runner_fault(site, fault, RunnerFault(freeze_answers=True))


@_begins(FaultKind.REFUSE_CONNECTIONS)
async def _refuse_connections(site: Site, fault: Fault) -> None:
    await _set_runner_fault(site, fault, RunnerFault(refuse_connections=True))


@_ends(
    FaultKind.LEAVE,
    FaultKind.SLOW,
    FaultKind.FAIL_EVERYTHING,
    FaultKind.FREEZE_ANSWERS,
    FaultKind.REFUSE_CONNECTIONS,
)
async def _clear_runner_fault(site: Site, fault: Fault) -> None:
    await _set_runner_fault(site, fault, RunnerFault())


@_begins(FaultKind.STORE_DOWN)
async def _store_down(site: Site, fault: Fault) -> None:
    await site.control_platform(PlatformFault(down=True))


@_begins(FaultKind.STORE_HANGING)
async def _store_hanging(site: Site, fault: Fault) -> None:
    await site.control_platform(PlatformFault(hanging=True))


@_begins(FaultKind.STORE_SLOW)
async def _store_slow(site: Site, fault: Fault) -> None:
    await site.control_platform(PlatformFault(slow_ms=fault.amount))


@_begins(FaultKind.STORE_ANSWER_LOST)
async def _store_answer_lost(site: Site, fault: Fault) -> None:
    await site.control_platform(PlatformFault(answer_lost_share=fault.amount))


@_ends(
    FaultKind.STORE_DOWN,
    FaultKind.STORE_HANGING,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_ANSWER_LOST,
)
async def _clear_store_fault(site: Site, fault: Fault) -> None:
    await site.control_platform(PlatformFault())


@_begins(FaultKind.PARTITION)
async def _cut(site: Site, fault: Fault) -> None:
    for relay in _relays(site, fault):
        relay.cut()


@_ends(FaultKind.PARTITION)
async def _heal(site: Site, fault: Fault) -> None:
    for relay in _relays(site, fault):
        relay.heal()


@_begins(FaultKind.CONFIGURATION_CHANGE)
async def _drain(site: Site, fault: Fault) -> None:
    await _set_drained(site, fault, drained=True)


@_ends(FaultKind.CONFIGURATION_CHANGE)
async def _activate(site: Site, fault: Fault) -> None:
    await _set_drained(site, fault, drained=False)


async def _set_drained(site: Site, fault: Fault, *, drained: bool) -> None:
    await site.configuration.drain(
        _runner(site, fault).target_id, drained=drained, pages=site.running_pages()
    )


def _relays(site: Site, fault: Fault) -> Sequence[Relay]:
    return [
        relay
        for relay in site.relays
        if relay.place.crosses(fault.domains, from_platform=fault.from_platform)
    ]


def _runner(site: Site, fault: Fault) -> RunnerPlace:
    return site.layout.runners[fault.index]


async def _set_runner_fault(site: Site, fault: Fault, wanted: RunnerFault) -> None:
    runner = _runner(site, fault)
    request = FaultRequest(target_ids=[runner.target_id], fault=wanted)
    await site.control_runners(runner.host, request)
