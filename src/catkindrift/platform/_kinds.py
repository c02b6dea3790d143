"""Kinds and names of objects in the platform's store, and its paths."""

from typing import Final

# The current configuration is always the object of this name.
CONFIGURATION_KIND: Final = 'config'
CONFIGURATION_NAME: Final = 'main'
# The platform calls upstreams "servers".
UPSTREAM_KIND: Final = 'servers'
# The name of an evacuation is its availability zone.
EVACUATION_KIND: Final = 'evacuations'
# Used by this system alone; the name of an entry VM comes from its settings.
ENTRY_VM_KIND: Final = 'entry-vms'

RESOLVE_PATH: Final = '/resolve'
READINESS_PATH: Final = '/readiness'
