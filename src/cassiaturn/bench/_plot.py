"""One picture a scenario: response time over ideal, ours against baselines."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from cassiaturn.bench._result import BenchResult
from cassiaturn.bench._scenario import scenarios_by_name

PLOTS_PATH = Path("docs/plots")
CLASSES = ("urgent", "normal", "batch")
PERCENTILES = ("p50", "p99")
SIZE_INCHES = (10.0, 4.5)
DOTS_PER_INCH = 80
BAR_SPAN = 0.8
"""Share of the room between two groups that bars fill."""

LOWEST_RATIO = 0.9
HEADROOM = 1.3


def plot_scenario(
    user: str, scenario: str, results: Sequence[BenchResult], directory: Path
) -> Path:
    """Draw one scenario.

    :param results: one for each dispatcher.
    :returns: the path of the picture.
    """
    # Imported here: the program ships without it, and only pictures need it.
    from matplotlib.backends.backend_agg import FigureCanvasAgg
    from matplotlib.figure import Figure

    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.subplots(1, len(PERCENTILES), sharey=True)
    figures_by_dispatcher = {
        result.name.dispatcher: result.figures for result in results
    }
    for axis, percentile in zip(axes, PERCENTILES, strict=True):
        _draw_bars(axis, percentile, figures_by_dispatcher)
    axes[0].set_yscale("log")
    axes[0].set_ylim(LOWEST_RATIO, HEADROOM * _highest(figures_by_dispatcher))
    axes[0].set_ylabel("response time over ideal")
    axes[0].legend(fontsize="small")
    summary = scenarios_by_name()[scenario].summary
    figure.suptitle(f"{user}, {scenario}: {summary}", fontsize="medium")
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{user}-{scenario}.png"
    figure.savefig(path, dpi=DOTS_PER_INCH, metadata={"Software": None})
    return path


def _highest(figures_by_dispatcher: Mapping[str, Mapping[str, float]]) -> float:
    return max(
        figures.get(f"{name}_{percentile}", 1.0)
        for figures in figures_by_dispatcher.values()
        for name in CLASSES
        for percentile in PERCENTILES
    )


def _draw_bars(
    axis: object,
    percentile: str,
    figures_by_dispatcher: Mapping[str, Mapping[str, float]],
) -> None:
    from matplotlib.axes import Axes

    if not isinstance(axis, Axes):
        raise TypeError("not axes")
    width = BAR_SPAN / len(figures_by_dispatcher)
    for position, (dispatcher, figures) in enumerate(figures_by_dispatcher.items()):
        heights = [figures.get(f"{name}_{percentile}", 0.0) for name in CLASSES]
        places = [group + position * width for group in range(len(CLASSES))]
        axis.bar(places, heights, width, label=dispatcher)
    centre = BAR_SPAN / 2 - width / 2
    axis.set_xticks([group + centre for group in range(len(CLASSES))], CLASSES)
    axis.set_title(percentile)
    axis.grid(axis="y", alpha=0.3)
