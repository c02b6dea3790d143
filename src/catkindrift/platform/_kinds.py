"""Kinds and names of objects in the platform's store, and its paths."""

from typing import Final

# The latest configuration lies under one name.
CONFIGURATION_KIND: Final = 'config'
CONFIGURATION_NAME: Final = 'main'
# The platform calls upstreams servers.
UPSTREAM_KIND: Final = 'servers'
# Named by availability zone.
EVACUATION_KIND: Final = 'evacuations'
# Kind of this system's own: the entry VMs, named as in their settings.
ENTRY_VM_KIND: Final = 'entry-vms'

RESOLVE_PATH: Final = '/resolve'
READINESS_PATH: Final = '/readiness'
