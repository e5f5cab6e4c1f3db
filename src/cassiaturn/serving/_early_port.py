"""The port of callers, open before anything else is imported.

Failure that it answers: every host loses power or every process is killed. Callers are
refused until a port listens, and those who are refused go elsewhere or away. Imports
take most of a start; what connects meanwhile waits in the accept queue and is served.

Only the standard library's lightest modules may be imported here.
"""

import re
import socket
from pathlib import Path

CALLERS_BACKLOG = 1024
"""Callers that may wait to be accepted: some 10 s of all callers of a small site. One
that finds the queue full tries again only after seconds."""

_KIND = re.compile(r"^kind:\s*[\"']?fleet[\"']?\s*$", re.MULTILINE)

_CALLERS = re.compile(
    r"^callers:\s*[\"']?(?P<host>[0-9.]+):(?P<port>[0-9]{1,5})[\"']?\s*$", re.MULTILINE
)


def listen_for_callers(host: str, port: int) -> socket.socket:
    """Open the port of callers.

    :raises OSError: the address cannot be listened at.
    """
    return socket.create_server((host, port), backlog=CALLERS_BACKLOG)


def open_early(path: Path) -> socket.socket | None:
    """Open the port of callers that a settings file names, if it is easily found.

    The file is checked in full a moment later; what is written otherwise, wrong or in
    use is reported then, and only the head start is lost.

    :param path: the settings file.
    """
    try:
        text = path.read_text(encoding="utf-8")
        callers = _CALLERS.search(text)
        if callers is None or _KIND.search(text) is None:
            return None
        return listen_for_callers(callers["host"], int(callers["port"]))
    except (OSError, ValueError, OverflowError):
        return None
