"""Adapter to the users' platform: maps its messages to cassiaturn's types and back.

It makes no decisions. No name of the platform's protocol is used outside this package.
"""

from typing import TYPE_CHECKING

from cassiaturn._lazy import lazy_exports
from cassiaturn.platform._environment import settings_path

if TYPE_CHECKING:
    from cassiaturn.platform._services import PlatformAdapter

# A starting process needs settings_path to open the callers' port, and imports the rest
# of the adapter after that.
__getattr__ = lazy_exports(__name__, {"PlatformAdapter": "_services"})

__all__ = ["PlatformAdapter", "settings_path"]
