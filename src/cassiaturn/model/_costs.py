"""Measures what submissions, claims and membership cost, for the decision pages."""

import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from cassiaturn.entities import TaskKey
from cassiaturn.membership import (
    MemberFacts,
    MemberRow,
    MembershipSettings,
    MembershipTable,
    MemberState,
    holder_of,
    holders_by_target,
    links_of,
)
from cassiaturn.model._fleet import Fleet
from cassiaturn.recovery import (
    FenceReport,
    RecoverySettings,
    ReportedRun,
    RunStatus,
    TakeoverTable,
)
from cassiaturn.submission import (
    ClaimLedger,
    ClaimSettings,
    ClaimUndetermined,
    StoreBudget,
    StoreSettings,
    SubmissionSettings,
    SubmissionTable,
    TicketIssuer,
    fingerprint_of,
    new_incarnation,
    parse_ticket,
)
from cassiaturn.v1 import peer_pb2 as pb

_SEED = 1
_ROUNDS = 20_000
_US_PER_S = 1e6
_TICK_S = 0.001
_LONGEST_S = 60.0
_LARGEST_JOB = 750
_DEAD = "osu-1~000000001"


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimLoad:
    """Claims of one instance at one rate of jobs."""

    jobs_per_s: int
    """Jobs with ids of the callers' own choice."""

    writes_per_job: float
    """Writes to the store for each."""

    wait_p50_ms: float
    """Median time from the wish to the claim, in milliseconds."""

    wait_p99_ms: float
    """The same, exceeded by one job in a hundred."""

    undetermined_share: float
    """Part of the jobs whose claim was given up."""


def ticket_costs() -> Mapping[str, float]:
    """Return microseconds for each step of a submission with a ticket."""
    rng = random.Random(_SEED)
    home = new_incarnation(instance_id="osu-1", boot_ms=1, rng=rng)
    issuer = TicketIssuer(incarnation=home, valid_for_s=30.0)
    table = SubmissionTable(
        incarnation=home, settings=SubmissionSettings(max_records=_ROUNDS + 1)
    )
    payloads = [b"x" * 100]

    began = time.perf_counter()
    tickets = [issuer.issue(1.0) for _ in range(_ROUNDS)]
    issued = time.perf_counter()
    for ticket in tickets:
        parse_ticket(ticket)
    parsed = time.perf_counter()
    prints = [fingerprint_of(method="a.B/C", tasks=payloads) for _ in tickets]
    printed = time.perf_counter()
    for ticket, fingerprint in zip(tickets, prints, strict=True):
        table.open(
            submission_id=ticket, fingerprint=fingerprint, tasks_total=1, now=1.0
        )
        table.begin(ticket)
    opened = time.perf_counter()
    per_round = _US_PER_S / _ROUNDS
    return {
        "issue_us": (issued - began) * per_round,
        "parse_us": (parsed - issued) * per_round,
        "fingerprint_us": (printed - parsed) * per_round,
        "open_and_begin_us": (opened - printed) * per_round,
    }


def claim_load(*, jobs_per_s: int, write_s: float, budget: StoreSettings) -> ClaimLoad:
    """Run the real ledger for ten seconds of virtual time.

    :param jobs_per_s: arrivals, at random times.
    :param write_s: time that the store takes for a write, in seconds.
    :param budget: this instance's share of the store.
    """
    rng = random.Random(_SEED)
    ledger = ClaimLedger(
        incarnation="osu-1~000000001",
        settings=ClaimSettings(),
        budget=StoreBudget(settings=budget, rng=rng),
        rng=rng,
    )
    wanted_at: dict[str, float] = {}
    waits: list[float] = []
    writes = undetermined = 0
    in_flight = None
    answer_at = 0.0
    for tick in range(10_000):
        now = tick * _TICK_S
        for _ in range(_arrivals(rng, jobs_per_s * _TICK_S)):
            name = f"order-{len(wanted_at)}"
            wanted_at[name] = now
            undetermined += ledger.request(name, now) is not None
        if in_flight is not None and now >= answer_at:
            ledger.committed(in_flight)
            in_flight = None
        for resolution in ledger.resolved():
            undetermined += isinstance(resolution, ClaimUndetermined)
            waits.append(now - wanted_at[resolution.submission_id])
        batch = ledger.next_batch(now)
        if batch is not None:
            writes += 1
            in_flight = batch
            answer_at = now + write_s
    waits.sort()
    return ClaimLoad(
        jobs_per_s=jobs_per_s,
        writes_per_job=writes / len(wanted_at),
        wait_p50_ms=waits[len(waits) // 2] * 1000,
        wait_p99_ms=waits[len(waits) * 99 // 100] * 1000,
        undetermined_share=undetermined / len(wanted_at),
    )


def links_per_instance(*, domains: int, instances: int) -> Mapping[str, float]:
    """Return links, heartbeat bytes and tick time of one instance of a fleet."""
    domains_by_id = {f"i-{n}": f"d-{n % domains}" for n in range(instances)}
    counts = [
        len(links_of(instance_id=one, domains_by_instance=domains_by_id, near_links=4))
        for one in domains_by_id
    ]
    beat = pb.Heartbeat(
        instance_id="i-100",
        incarnation="i-100~18c0000000011223344",
        failure_domain="d-1",
        state=pb.INSTANCE_STATE_READY,
        configuration_version=10**6,
        free_slots=20,
        queued=300,
        expected_wait_ms=100,
        slots=32,
    )
    mean = sum(counts) / len(counts)
    return {
        "links_mean": mean,
        "links_max": max(counts),
        "heartbeat_bytes": beat.ByteSize(),
        "bytes_per_s_both_ways": mean * beat.ByteSize() * 2,
        "tick_us": _tick_us(domains_by_id),
    }


def recovery_costs(*, targets: int) -> Mapping[str, float]:
    """Return what a successor pays to decide one of the largest jobs.

    :param targets: targets, all of which answered the fence.
    """
    table = TakeoverTable(
        incarnation="osu-2~000000001",
        settings=RecoverySettings(),
        rng=random.Random(_SEED),
    )
    target_ids = [f"runner-{number}" for number in range(targets)]
    table.observe_targets(target_ids)
    table.request_takeover(_DEAD)
    for row in table.rows_due():
        table.row_confirmed(row)
    table.fences_due(0.0)
    run = ReportedRun(target_id=target_ids[0], status=RunStatus.DONE)
    for target_id in target_ids:
        begun = ((TaskKey("s", 0), run),) if target_id == run.target_id else ()
        report = FenceReport(target_id=target_id, begun=begun, exhaustive=True)
        table.fenced(_DEAD, report, 0.0)
    rounds = 20
    began = time.perf_counter()
    for _ in range(rounds):
        table.decide_submission(
            submission_id="s",
            home=_DEAD,
            tasks_total=_LARGEST_JOB,
            repeatable=False,
            now=1.0,
        )
    decided = time.perf_counter()
    for _ in range(rounds):
        table.fences_due(2.0)
    looked = time.perf_counter()
    return {
        "decide_job_us": (decided - began) / rounds * _US_PER_S,
        "fences_due_us": (looked - decided) / rounds * _US_PER_S,
    }


def death_spread(*, domains: int, size: int) -> Mapping[str, float]:
    """Return how a fleet learns of a death, in virtual time.

    :param domains: failure domains.
    :param size: instances in each.
    :returns: seconds until the first, half and all take it for gone, and
        heartbeats a second and instance before and during it.
    """
    fleet = Fleet(domains=domains, size=size)
    fleet.run(5.0)
    count = domains * size
    sent = fleet.sent
    fleet.run(5.0)
    quiet = (fleet.sent - sent) / count / 5.0
    died_at = fleet.now
    fleet.down.add("d0-0")
    gone_at: list[float] = []
    sent = fleet.sent
    while len(gone_at) < count - 1 and fleet.now < _LONGEST_S:
        fleet.run(0.1)
        believers = len(fleet.believers("d0-0", MemberState.GONE))
        gone_at.extend([fleet.now - died_at] * (believers - len(gone_at)))
    during = (fleet.sent - sent) / count / (fleet.now - died_at)
    return {
        "first_s": gone_at[0],
        "half_s": gone_at[len(gone_at) // 2],
        "all_s": gone_at[-1],
        "learned": len(gone_at),
        "quiet_sent_per_s": quiet,
        "death_sent_per_s": during,
    }


def holder_shares(*, targets: int, instances: int, domains: int) -> Mapping[str, float]:
    """Compare plain rendezvous hashing with the bounded one, over many domains.

    :returns: the largest share of an instance over the mean, averaged; and the
        part of targets that move although their instance stays, when one goes.
    """
    plain = bounded = moved = 0.0
    for domain in range(domains):
        target_ids = [f"r-{domain}-{n}" for n in range(targets)]
        ids = [f"i-{domain}-{n}" for n in range(instances)]
        mean = targets / instances
        plain += _largest([str(holder_of(one, ids)) for one in target_ids]) / mean
        before = holders_by_target(target_ids, ids)
        bounded += _largest(list(before.values())) / mean
        after = holders_by_target(target_ids, ids[1:])
        moved += sum(before[one] not in (ids[0], after[one]) for one in target_ids)
    return {
        "plain_largest_over_mean": plain / domains,
        "bounded_largest_over_mean": bounded / domains,
        "moved_share": moved / domains / targets,
    }


def _arrivals(rng: random.Random, mean: float) -> int:
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def _largest(holders: Sequence[str]) -> int:
    return max(holders.count(one) for one in set(holders))


def _tick_us(domains_by_id: Mapping[str, str]) -> float:
    facts = [
        MemberFacts(
            instance_id=one,
            incarnation=f"{one}~000000001",
            failure_domain=domain,
            state=MemberState.READY,
        )
        for one, domain in domains_by_id.items()
    ]
    table = MembershipTable(
        me=MemberRow(facts=facts[0]),
        settings=MembershipSettings(),
        rng=random.Random(_SEED),
    )
    for one in facts[1:]:
        table.observe(one, 0.0)
    table.tick(0.0)
    rounds = 200
    began = time.perf_counter()
    for number in range(rounds):
        table.tick(number / rounds)
    return (time.perf_counter() - began) / rounds * _US_PER_S
