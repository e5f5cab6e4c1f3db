"""Share of callers served in time by second, before and after a change, as a picture.

Reads two saved reports of the users' plays, of one day and seed, which hold a table
headed ``from second`` with the jobs asked for and those answered in time.
"""

import argparse
import re
from pathlib import Path

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

ROW = re.compile(r"^(\d+)\s+(\d+)\s+(\d+)\s", re.MULTILINE)

HEADING = "from second"


def shares(report: str) -> tuple[list[int], list[float]]:
    """Return the seconds of a report's table, and the share in time from each.

    :raises ValueError: the report holds no such table.
    """
    _, heading, table = report.partition(HEADING)
    rows = [tuple(map(int, row)) for row in ROW.findall(table.partition("\n\n")[0])]
    if not heading or not rows:
        raise ValueError(f"no table headed {HEADING!r}")
    return [row[0] for row in rows], [row[2] / max(1, row[1]) for row in rows]


def main() -> None:
    """Write the picture."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("before", type=Path)
    parser.add_argument("after", type=Path)
    parser.add_argument("picture", type=Path)
    parser.add_argument("--title", default="")
    options = parser.parse_args()
    figure, axes = plt.subplots(figsize=(8, 3))
    for name in ("before", "after"):
        seconds, share = shares(getattr(options, name).read_text())
        axes.step(seconds, share, where="post", label=name)
    axes.set_xlabel("second of the day")
    axes.set_ylabel("share in time")
    axes.set_ylim(0.0, 1.02)
    axes.set_title(options.title)
    axes.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(options.picture, dpi=100)


if __name__ == "__main__":
    main()
