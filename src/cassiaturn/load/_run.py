"""Runs a scenario from its first process to its figures."""

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

from cassiaturn.entities import Schema
from cassiaturn.load._answers import CallerAnswer, write_answers
from cassiaturn.load._callers import Callers
from cassiaturn.load._counts import count_run, longest_run_s_by_id
from cassiaturn.load._documents import SCHEMAS, write_settings
from cassiaturn.load._faults import run_faults
from cassiaturn.load._figures import Figures, Observations, measure
from cassiaturn.load._layout import Layout, plan_layout
from cassiaturn.load._plan import plan_jobs
from cassiaturn.load._scenario import Scenario
from cassiaturn.load._site import Site
from cassiaturn.standins import JournalEntry, read_journal

THIS_PROGRAM = (sys.executable, "-m", "cassiaturn")
"""The dispatcher of this installation."""

SETTLING_S = 1.0
"""Pause after the last answer: a start that comes after it is counted too."""


async def run_scenario(
    scenario: Scenario, directory: Path, *, program: Sequence[str] = THIS_PROGRAM
) -> Figures:
    """Start everything, send the load, cause the faults, end everything, count.

    :param scenario: a checked scenario.
    :param directory: an empty directory for settings, logs and journals.
    :param program: the dispatcher, to which ``serve`` is added.
    :raises SiteError: a process could not be started.
    """
    layout = plan_layout(scenario, directory)
    write_settings(scenario, layout)
    addresses = [place.address for place in layout.instances]
    site = Site(layout=layout, program=program)
    callers = Callers(addresses=addresses, seed=scenario.seed)
    jobs = plan_jobs(scenario)
    try:
        await site.start()
        round_trip_s = await callers.idle_round_trip_s(scenario.tenants[0])
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run(jobs))
            group.create_task(run_faults(site, scenario.faults))
        await asyncio.sleep(SETTLING_S)
    finally:
        callers.close()
        await site.stop()
    write_answers(callers.answers, directory / "answers.jsonl")
    seen = Observations(
        round_trip_s=round_trip_s,
        resubmissions=callers.resubmissions,
        late_s=callers.late_s,
        exit_codes=site.exit_codes,
        configuration_in_force_s=site.configuration.in_force_s,
        held_by_relays=site.held_by_relays if site.relays else None,
    )
    return _figures(site, callers.answers, seen)


def _figures(
    site: Site, answers: Sequence[CallerAnswer], seen: Observations
) -> Figures:
    schema = Schema.load([Path(str(schema)) for schema in SCHEMAS]).unwrap()
    entries = _read_journals(site.layout)
    counts = count_run(
        answers,
        entries,
        repeatable_by_method={
            name: method.repeatable for name, method in schema.methods_by_name.items()
        },
        killed_at_us_by_target=site.killed_at_us_by_target(),
    )
    return measure(
        answers,
        counts,
        seen,
        schema=schema,
        longest_run_s_by_id=longest_run_s_by_id(entries),
    )


def _read_journals(layout: Layout) -> list[JournalEntry]:
    return [
        entry for runner in layout.runners for entry in read_journal(runner.journal)
    ]
