"""HDR histograms of times and ratios."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
US_PER_S = 1_000_000
RATIO_SCALE = 10_000
"""Ratios are recorded as whole numbers of ten-thousandths."""


class Histogram:
    """Response times or ratios, to three digits."""

    def __init__(self, *, scale: int) -> None:
        """Start empty.

        :param scale: units of the histogram for 1 of the value.
        """
        self._scale = scale
        self._values = HdrHistogram(  # type: ignore[no-untyped-call]
            LOWEST_US, HIGHEST_US, DIGITS
        )

    @property
    def count(self) -> int:
        """Values recorded."""
        return int(self._values.get_total_count())  # type: ignore[no-untyped-call]

    def record(self, value: float) -> None:
        """Record a value."""
        self._values.record_value(  # type: ignore[no-untyped-call]
            max(LOWEST_US, round(value * self._scale))
        )

    def percentile(self, percentile: float) -> float:
        """Return a percentile; 0 without values."""
        found = self._values.get_value_at_percentile(  # type: ignore[no-untyped-call]
            percentile
        )
        return float(found) / self._scale
