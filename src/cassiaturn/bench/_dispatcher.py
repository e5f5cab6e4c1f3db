"""The interface of dispatchers under comparison, and their registry."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import ClassVar

from cassiaturn.bench._runner import JobRun
from cassiaturn.bench._world import World


class Dispatcher(ABC):
    """A way to get jobs onto targets.

    Use :func:`dispatcher` to add one to the comparison.
    """

    is_one_place: ClassVar[bool] = False
    """Whether its messages take no time and are not counted."""

    def __init__(self, *, world: World) -> None:
        self.world = world

    @abstractmethod
    def submit(self, run: JobRun) -> None:
        """Take a job that has reached its instance."""

    @abstractmethod
    def withdraw(self, run: JobRun) -> None:
        """Drop what is left of a job that has been answered."""


DISPATCHERS_BY_NAME: dict[str, type[Dispatcher]] = {}
"""Every dispatcher, filled by :func:`dispatcher`."""


def dispatcher(name: str) -> Callable[[type[Dispatcher]], type[Dispatcher]]:
    """Register a dispatcher under a name."""

    def register(registered: type[Dispatcher]) -> type[Dispatcher]:
        if name in DISPATCHERS_BY_NAME:
            raise ValueError(f"dispatcher {name} is registered twice")
        DISPATCHERS_BY_NAME[name] = registered
        return registered

    return register


def dispatchers_by_name() -> Mapping[str, type[Dispatcher]]:
    """Return every dispatcher, by name."""
    import cassiaturn.bench._baselines
    import cassiaturn.bench._ours  # noqa: F401 (both fill the registry)

    return DISPATCHERS_BY_NAME
