"""Requests that upstreams have lately run to the end."""

from typing import final

import attrs

_MAX_FINGERPRINTS = 5000


@final
@attrs.define
class WholeResponses:
    """Times of the last whole response by fingerprint, up to a limit."""

    _responded_ms: dict[str, int] = attrs.field(init=False, factory=dict)

    def record(self, fingerprint: str, at_ms: int) -> None:
        """Record a whole response; drop the oldest if there are too many."""
        self._responded_ms.pop(fingerprint, None)
        self._responded_ms[fingerprint] = at_ms
        if len(self._responded_ms) > _MAX_FINGERPRINTS:
            self._responded_ms.pop(next(iter(self._responded_ms)))

    def has_any_since(self, fingerprint: str, since_ms: int) -> bool:
        """Return whether a whole response came at `since_ms` or later."""
        at_ms = self._responded_ms.get(fingerprint)
        return at_ms is not None and at_ms >= since_ms
