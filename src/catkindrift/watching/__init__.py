"""Watching of the product's own store."""

from catkindrift.watching._platform_watcher import (
    PLATFORM_FAILURES,
    PlatformWatcher,
)
from catkindrift.watching._vm_list_cache import NEVER_MS, VmListCache

__all__ = ['NEVER_MS', 'PLATFORM_FAILURES', 'PlatformWatcher', 'VmListCache']
