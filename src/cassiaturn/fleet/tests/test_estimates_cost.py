"""What shared estimates cost a leader; ``pytest -s`` prints the figures."""

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from cassiaturn import workload
from cassiaturn.fleet._estimates_feed import EstimatesFeed
from cassiaturn.sharing import SharedTarget, SpeedModel
from cassiaturn.standins.virtual_targets import VirtualLeader

JOBS_PER_S = 420

TASKS_PER_JOB = 4

FOLLOWERS = 35

SECONDS = 40

SETTLED_S = 30
"""From this second on the estimates count as settled."""


@dataclass(slots=True, kw_only=True)
class Cost:
    """Cost of each simulated second."""

    bytes_to_one: list[int] = field(default_factory=list)
    """Bytes sent to one follower."""

    update_us: list[float] = field(default_factory=list)
    """Processor time of the update of the summary, in microseconds."""

    send_us: list[float] = field(default_factory=list)
    """Processor time of the pages to all followers, in microseconds."""


def _run(play: VirtualLeader, seed: int) -> Iterator[None]:
    """Let targets of different speeds run a second's jobs, again and again."""
    rng = random.Random(seed)
    model: SpeedModel = play.tables.speeds_by_service["svc"]
    targets: list[SharedTarget] = list(play.tables.targets_by_id.values())
    ratio_by_id = {row.target_id: rng.lognormvariate(0.0, 0.2) for row in targets}
    while True:
        for _ in range(JOBS_PER_S):
            error = rng.lognormvariate(0.0, 0.3)
            chosen = rng.sample(targets, TASKS_PER_JOB)
            ratios = [
                ratio_by_id[row.target_id] * error * rng.lognormvariate(0.0, 0.15)
                for row in chosen
            ]
            model.observe_job(
                [(row.speed, ratio) for row, ratio in zip(chosen, ratios, strict=True)]
            )
            route = f"route-{rng.randrange(20)}"
            play.tables.expected.observe(route, 0.5 * rng.lognormvariate(0.0, 0.4))
        yield


def _measure(count: int) -> Cost:
    play = VirtualLeader()
    for number in range(count):
        labels = frozenset({f"kind-{number % 2}", f"rack-{number // 12}"})
        play.add_target(f"i-{number:010x}", labels=labels)
    feed = EstimatesFeed(link_mbps=1e6)
    cursors = [
        feed.join(f"front-{number}", on_change=lambda: None)
        for number in range(FOLLOWERS)
    ]
    cost = Cost()
    for second, _ in zip(range(SECONDS), _run(play, count), strict=False):
        began_at = time.process_time()
        learned = workload.list_estimates(play.tables, float(second))
        feed.note_changed(feed.summary.update(learned, float(second)))
        updated_at = time.process_time()
        sizes = [0] * FOLLOWERS
        for index, cursor in enumerate(cursors):
            while cursor.due_at is not None:
                sizes[index] += len(cursor.next_page().SerializeToString())
        cost.bytes_to_one.append(sizes[0])
        cost.update_us.append((updated_at - began_at) * 1e6)
        cost.send_us.append((time.process_time() - updated_at) * 1e6)
    return cost


@pytest.mark.parametrize("count", [176, 300, 1_400])
def test_cost_is_bounded(count: int) -> None:
    """Guards against estimates that take the link or the processor of a leader."""
    cost = _measure(count)
    settled = cost.bytes_to_one[SETTLED_S:]
    settled_b = sum(settled) / len(settled)
    update_us = sorted(cost.update_us)[SECONDS // 2]
    send_us = sum(cost.send_us[SETTLED_S:]) / len(settled)
    print(
        f"\n{count} targets: at most {max(cost.bytes_to_one)} B/s, settled"
        f" {settled_b:.0f} B/s to a follower; update {update_us:.0f} us/s, pages to"
        f" {FOLLOWERS} followers at most {max(cost.send_us):.0f} us/s, settled"
        f" {send_us:.0f} us/s"
    )
    assert max(cost.bytes_to_one) <= 24 * (count + count // 12 + 25)
    assert settled_b <= 3.0 * count + 500.0
    assert update_us <= 20.0 * count + 5_000.0
