"""The users' platform: its messages, to and from the product's types.

Nothing here decides anything; nothing outside this package knows the platform's
names.
"""

from typing import TYPE_CHECKING

from cassiaturn._lazy import lazy_exports
from cassiaturn.platform._environment import settings_path

if TYPE_CHECKING:
    from cassiaturn.platform._services import PlatformAdapter

# The settings are looked for before anything else, and a port is opened by them.
__getattr__ = lazy_exports(__name__, {"PlatformAdapter": "_services"})

__all__ = ["PlatformAdapter", "settings_path"]
