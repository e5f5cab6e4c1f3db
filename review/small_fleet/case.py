"""Runs one case as a program, and turns what it finds into an exit code."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from small_fleet.deployment import CannotRunError, Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

LONGEST_CASE_S = 100.0

Case = Callable[[Record, bool], Awaitable[list[str]]]
"""Plays the case, with the disruption or without it; returns the broken rules."""


def main(case: Case) -> None:
    """Run a case; ``TROUBLE=0`` in the environment leaves out its disruption."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(sys.argv[1]))
    record.note(f"disruption: {'yes' if with_trouble else 'no'}")
    try:
        broken = asyncio.run(_play(case, record, with_trouble))
    except (CannotRunError, OSError, TimeoutError) as error:
        record.note(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    finally:
        record.close()
    for line in broken:
        sys.stdout.write(f"{line}\n")
    sys.exit(BROKEN if broken else HELD)


async def _play(case: Case, record: Record, with_trouble: bool) -> list[str]:
    async with asyncio.timeout(LONGEST_CASE_S):
        broken = await case(record, with_trouble)
    for line in broken or ["every rule held"]:
        record.note(f"result {line}")
    return broken
