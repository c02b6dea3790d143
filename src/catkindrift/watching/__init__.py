"""Watching of the configuration and VM list in the platform."""

from catkindrift.watching._platform_watcher import (
    PLATFORM_ERRORS,
    PlatformWatcher,
)
from catkindrift.watching._vm_list_cache import NO_VM_LIST_AGE_MS, VmListCache

__all__ = [
    'NO_VM_LIST_AGE_MS',
    'PLATFORM_ERRORS',
    'PlatformWatcher',
    'VmListCache',
]
