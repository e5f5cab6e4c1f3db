"""Print the task starts a second of one instance, and per second of one core."""

import argparse
import asyncio
import tempfile
from pathlib import Path

from cassiaturn.load import load_scenario
from cassiaturn.load._starts import measure_starts

SCENARIO = Path(__file__).resolve().parent.parent / "scenarios" / "starts.yaml"


def main() -> None:
    """Measure with the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tasks-per-job", type=int, default=100)
    parser.add_argument("--jobs-in-flight", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    scenario = load_scenario(SCENARIO).unwrap()
    with tempfile.TemporaryDirectory(prefix="cassiaturn-") as directory:
        figures = asyncio.run(
            measure_starts(
                scenario,
                Path(directory),
                tasks_per_job=options.tasks_per_job,
                jobs_in_flight=options.jobs_in_flight,
                seconds=options.seconds,
            )
        )
    print(
        "event=starts_measured"
        f" tasks_per_job={options.tasks_per_job}"
        f" jobs_in_flight={options.jobs_in_flight}"
        f" tasks={figures.tasks}"
        f" starts_per_s={figures.starts_per_s:.0f}"
        f" starts_per_cpu_s={figures.starts_per_cpu_s:.0f}"
        f" resident_mib={figures.resident_mib:.1f}"
    )


if __name__ == "__main__":
    main()
