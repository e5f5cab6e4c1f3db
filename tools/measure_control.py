"""Print what control costs an idle instance at several sizes of the fleet."""

import argparse
import asyncio
from pathlib import Path

from cassiaturn.load import load_scenario
from cassiaturn.load._control import measure_control

SCENARIO = Path(__file__).resolve().parent.parent / "scenarios" / "starts.yaml"


def main() -> None:
    """Measure at the sizes of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=[3, 9, 27])
    parser.add_argument("--targets", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    scenario = load_scenario(SCENARIO).unwrap()
    for instances in options.instances:
        figures = asyncio.run(
            measure_control(
                scenario,
                instances=instances,
                targets=options.targets,
                seconds=options.seconds,
            )
        )
        print(figures.to_line(), flush=True)


if __name__ == "__main__":
    main()
