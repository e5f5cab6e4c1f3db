"""One picture a scenario: response time over ideal, ours against baselines."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from cassiaturn.bench._check import CLASSES
from cassiaturn.bench._result import BenchResult
from cassiaturn.bench._scenario import scenarios_by_name

PLOTS_PATH = Path("docs/plots")
PERCENTILES = ("p50", "p99")
WIDTH_INCHES = 10.0
ROW_INCHES = 3.2
DOTS_PER_INCH = 80
BAR_SPAN = 0.8
"""Share of the room between two groups that bars fill."""

LOWEST_RATIO = 0.9
HEADROOM = 1.3


def plot_scenario(
    scenario: str, results: Sequence[BenchResult], directory: Path
) -> Path:
    """Draw one scenario, a row a user and a column a percentile.

    :param results: one for each user and dispatcher.
    :returns: the path of the picture.
    """
    # Imported here: the program ships without it, and only pictures need it.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    users = list(dict.fromkeys(result.name.user for result in results))
    figure = Figure(
        figsize=(WIDTH_INCHES, ROW_INCHES * len(users)), layout="constrained"
    )
    FigureCanvasAgg(figure)
    rows = figure.subplots(len(users), len(PERCENTILES), sharey=True, squeeze=False)
    rows[0][0].set_yscale("log")
    rows[0][0].set_ylim(LOWEST_RATIO, HEADROOM * _highest(results))
    for user, axes in zip(users, rows, strict=True):
        own = [result for result in results if result.name.user == user]
        for axis, percentile in zip(axes, PERCENTILES, strict=True):
            _draw_bars(axis, percentile, own)
            axis.set_title(f"{user}, {percentile}", fontsize="small")
        axes[0].set_ylabel("response time over ideal")
    rows[0][0].legend(fontsize="small")
    summary = scenarios_by_name()[scenario].summary
    figure.suptitle(f"{scenario}: {summary}", fontsize="medium")
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{scenario}.png"
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
    return path


def _highest(results: Sequence[BenchResult]) -> float:
    return max(
        result.figures.get(f"{name}_{percentile}", 1.0)
        for result in results
        for name in CLASSES
        for percentile in PERCENTILES
    )


def _draw_bars(axis: object, percentile: str, results: Sequence[BenchResult]) -> None:
    from matplotlib.axes import Axes

    if not isinstance(axis, Axes):
        raise TypeError("not axes")
    width = BAR_SPAN / len(results)
    for position, result in enumerate(results):
        heights = _heights(result.figures, percentile)
        places = [group + position * width for group in range(len(CLASSES))]
        axis.bar(places, heights, width, label=result.name.dispatcher)
    centre = BAR_SPAN / 2 - width / 2
    axis.set_xticks([group + centre for group in range(len(CLASSES))], CLASSES)
    axis.grid(axis="y", alpha=0.3)


def _heights(figures: Mapping[str, float], percentile: str) -> Sequence[float]:
    return [figures.get(f"{name}_{percentile}", 0.0) for name in CLASSES]
