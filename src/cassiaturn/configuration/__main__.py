"""``python -m cassiaturn.configuration``: what a fleet's polling costs."""

import asyncio

import logbook

from cassiaturn.configuration._fleet import measure

FLEETS = (8, 350)
"""Instances of today, and of a plan for 100,000 task starts a second."""

PERIODS_S = (1.0, 2.0, 4.0)

CHANGE_EVERY_S = 24.7
"""3,500 changes a day."""

CHANGES = 5


async def main() -> None:
    """Print one line of key=value pairs a fleet, period and jitter."""
    for instances in FLEETS:
        for period_s in PERIODS_S:
            for jitter in (True, False):
                figures = await measure(
                    instances=instances,
                    period_s=period_s,
                    change_every_s=CHANGE_EVERY_S,
                    changes=CHANGES,
                    jitter=jitter,
                )
                print(
                    f"event=fleet_polled instances={instances} period_s={period_s}"
                    f" jitter={str(jitter).lower()}"
                    f" reads_per_s={figures.reads_per_s:.1f}"
                    f" peak_reads_per_100_ms={figures.peak_reads}"
                    f" slowest_s={figures.slowest_s:.1f}"
                    f" document_bytes={figures.document_bytes}"
                )


if __name__ == "__main__":
    with logbook.NullHandler().applicationbound():  # type: ignore[no-untyped-call]
        asyncio.run(main())
