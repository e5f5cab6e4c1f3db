"""Re-exports that import their module when they are first used.

A member serves nobody until its imports are done, and each restart of a host pays for
them again. What only the other deployment or a command needs is left out of that time.
"""

import importlib
from collections.abc import Callable, Mapping


def lazy_exports(
    package: str, module_by_name: Mapping[str, str]
) -> Callable[[str], object]:
    """Return a package's ``__getattr__``.

    :param package: its name.
    :param module_by_name: module of the package that holds each name.
    """

    def find(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return find
