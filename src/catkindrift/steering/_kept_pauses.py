"""Pauses that upstreams have asked for, while their entries are missing."""

from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._upstream_state import UpstreamState


@final
@attrs.define(eq=False, repr=False)
class KeptPauses:
    """Keeps the pauses of removed incarnations until they have passed.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _until_ms: dict[str, int] = attrs.field(init=False, factory=dict)

    def keep(self, state: UpstreamState) -> None:
        """Keep the pause of an upstream that is removed."""
        now_ms = self._clock.now_ms()
        self._until_ms = {
            incarnation: until_ms
            for incarnation, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
        if state.paused_until_ms > now_ms:
            incarnation = state.upstream.incarnation
            self._until_ms[incarnation] = state.paused_until_ms

    def take(self, incarnation: str) -> int:
        """Return the end of an incarnation's pause, or 0, and drop it."""
        return self._until_ms.pop(incarnation, 0)
