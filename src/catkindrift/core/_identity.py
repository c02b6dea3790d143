"""Identity of this entry VM."""

from typing import final

import attrs

from catkindrift.domain import Vm


@final
@attrs.frozen
class Identity:
    """Identity of one process of an entry VM.

    Args:
        vm: Name, zone and addresses.
        region: Region of the zone.
        incarnation: Start time of the process, Unix milliseconds;
            distinguishes it from earlier processes of the same VM.
    """

    vm: Vm
    region: str
    incarnation: int

    @property
    def name(self) -> str:
        """Return the name of the VM."""
        return self.vm.name

    @property
    def zone(self) -> str:
        """Return the availability zone of the VM."""
        return self.vm.zone
