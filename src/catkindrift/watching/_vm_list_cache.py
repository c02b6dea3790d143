"""The newest VM list that this entry VM has seen."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.core import Event, VmListReceived
from catkindrift.domain import Vm

NO_VM_LIST_AGE_MS = -1


@final
@attrs.define(eq=False)
class VmListCache:
    """Keeps the newest list, from the platform or from another entry VM.

    Args:
        clock: Source of time.
        post: Handles an event on the loop.
    """

    _clock: Clock
    _post: Callable[[Event], None]
    vms: tuple[Vm, ...] = attrs.field(init=False, default=())
    _as_of_ms: int | None = attrs.field(init=False, default=None)

    @property
    def age_ms(self) -> int:
        """Return the age of the list; `NEVER_MS` when there is none."""
        if self._as_of_ms is None:
            return NO_VM_LIST_AGE_MS
        return self._clock.now_ms() - self._as_of_ms

    def update(self, vms: tuple[Vm, ...], seen_ms: int) -> None:
        """Take over a list that is newer than the one known.

        Args:
            vms: The list.
            seen_ms: Local time at which the platform surely showed it.
        """
        if self._as_of_ms is None or seen_ms > self._as_of_ms:
            self.vms = vms
            self._as_of_ms = seen_ms
            self._post(VmListReceived(vms))
