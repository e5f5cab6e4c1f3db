"""The status page for people."""

from functools import cache
from importlib.resources import files

from tornado.template import Template

from cassiaturn.observability._status import StatusDocument

REFRESH_S = 5
"""Time after which a browser loads the page again, in seconds."""

_MS_PER_S = 1_000
_S_PER_MIN = 60
_MIN_PER_H = 60


def render_page(status: StatusDocument) -> bytes:
    """Return the page of an instance; every value in it is escaped.

    :param status: what it shows.
    """
    page: bytes = _template().generate(
        status=status, refresh_s=REFRESH_S, duration=format_duration
    )
    return page


def format_duration(duration_ms: int) -> str:
    """Return a duration in the unit that people read it in.

    :param duration_ms: in milliseconds.
    """
    if duration_ms < _MS_PER_S:
        return f"{duration_ms} ms"
    seconds = duration_ms / _MS_PER_S
    if seconds < _S_PER_MIN:
        return f"{seconds:.1f} s"
    minutes = seconds / _S_PER_MIN
    if minutes < _MIN_PER_H:
        return f"{minutes:.0f} min"
    return f"{minutes / _MIN_PER_H:.1f} h"


@cache
def _template() -> Template:
    source = files("cassiaturn.observability").joinpath("status.html")
    return Template(source.read_bytes(), name="status.html")
