"""The HTTP client, without the certificates that nothing here needs.

It reads every certificate of the host when it is imported: 0.11 s of the 1.3 s until a
member serves. All calls go by plain HTTP to addresses, so none of them is used.
"""

import os

_FILE = "SSL_CERT_FILE"
_FOLDER = "SSL_CERT_DIR"

_kept = {name: os.environ.get(name) for name in (_FILE, _FOLDER)}
os.environ.update({_FILE: os.devnull, _FOLDER: os.devnull})
try:
    import aiohttp
finally:
    for _name, _value in _kept.items():
        if _value is None:
            del os.environ[_name]
        else:
            os.environ[_name] = _value

__all__ = ["aiohttp"]
