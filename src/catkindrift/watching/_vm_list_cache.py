"""Cache of the newest VM list known to this entry VM."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.core import Event, VmListReceived
from catkindrift.domain import Vm

# Age that stands for "no VM list", also in messages between entry VMs.
NO_VM_LIST_AGE_MS = -1


@final
@attrs.define(eq=False, repr=False)
class VmListCache:
    """Holds the newest VM list from the platform or a peer.

    Args:
        clock: Source of time.
        post: Handles an event on the loop.

    Attributes:
        vms: The newest VM list; empty until one is known.
    """

    _clock: Clock
    _post: Callable[[Event], None]
    vms: tuple[Vm, ...] = attrs.field(init=False, default=())
    _as_of_ms: int | None = attrs.field(init=False, default=None)

    @property
    def age_ms(self) -> int:
        """Return the age of the list; `NO_VM_LIST_AGE_MS` without one."""
        if self._as_of_ms is None:
            return NO_VM_LIST_AGE_MS
        return self._clock.now_ms() - self._as_of_ms

    def update(self, vms: tuple[Vm, ...], as_of_ms: int) -> None:
        """Replace the list if the new one is more recent.

        Args:
            vms: The new VM list.
            as_of_ms: Local time in milliseconds; the list is at least as
                recent as this.
        """
        if self._as_of_ms is None or as_of_ms > self._as_of_ms:
            self.vms = vms
            self._as_of_ms = as_of_ms
            self._post(VmListReceived(vms))
