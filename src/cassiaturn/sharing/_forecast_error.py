"""Learns by how much starts come later than forecast.

Load pattern: loads at which more urgent jobs arrive after a job, runs take longer than
expected, or targets are lost. A forecast without a margin then admits jobs whose
answers are just too late.

Grounds: the upper quartile of the latest errors covers three of four jobs. A few
hundred errors span less than a second of the usual load, so that the margin of a burst
does not outlast it for long.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

MAX_ERROR_MS = 10_000
"""Largest error that is counted, in milliseconds."""

DIGITS = 2
"""Significant digits of the histogram."""

ERRORS_PER_HISTOGRAM = 200
"""Errors in a histogram. Two are kept, so the last 200 to 400 errors count."""

ERRORS_PER_UPDATE = 20
"""Errors after which the margin is computed anew."""

PERCENTILE = 75.0
"""Percentile of the errors that is the margin."""

MAX_AGE_S = 1.0
"""Time without an error after which the margin is 0, in seconds. Otherwise a margin
that refuses all jobs would stay, since only jobs that are admitted have errors."""


class ForecastError:
    """Errors of the forecasts of the latest jobs that have started."""

    def __init__(self) -> None:
        """Start with no margin."""
        self._margin_s = 0.0
        self._observed_at = float("-inf")
        self._earlier = _histogram()
        self._latest = _histogram()
        self._count = 0

    def margin_s(self, now: float) -> float:
        """Return the time by which a forecast is extended, in seconds.

        :param now: current time in seconds.
        """
        return self._margin_s if now - self._observed_at < MAX_AGE_S else 0.0

    def observe(self, error_s: float, now: float) -> None:
        """Add the error of one job.

        :param error_s: its actual start minus its forecast start, in seconds; a
            negative one counts as 0.
        :param now: current time in seconds.
        """
        self._observed_at = now
        error_ms = min(MAX_ERROR_MS, max(0, round(error_s * 1000)))
        self._latest.record_value(error_ms)  # type: ignore[no-untyped-call]
        self._count += 1
        if self._count % ERRORS_PER_UPDATE == 0:
            self._margin_s = self._percentile_ms() / 1000
        if self._count % ERRORS_PER_HISTOGRAM == 0:
            self._earlier = self._latest
            self._latest = _histogram()

    def _percentile_ms(self) -> int:
        both = _histogram()
        both.add(self._earlier)  # type: ignore[no-untyped-call]
        both.add(self._latest)  # type: ignore[no-untyped-call]
        value = both.get_value_at_percentile(PERCENTILE)  # type: ignore[no-untyped-call]
        return int(value)


def _histogram() -> "HdrHistogram":
    # Imported when a leader first needs it: it takes 11 ms of processor time, which
    # other processes need not spend when they start.
    from hdrh.histogram import HdrHistogram

    return HdrHistogram(1, MAX_ERROR_MS, DIGITS)  # type: ignore[no-untyped-call]
