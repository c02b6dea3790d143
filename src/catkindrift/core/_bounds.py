"""Bounds of one entry VM."""

from typing import final

import attrs


@final
@attrs.frozen
class Bounds:
    """How much an entry VM takes on.

    Args:
        requests: Service requests in the VM at a time.
        service_share: Largest part of them that one service may have.
        lookup_lifetime_ms: How long callers may use a look-up answer.
    """

    max_requests: int = 56
    max_service_share: float = 0.5
    lookup_lifetime_ms: int = 2000

    @property
    def max_requests_per_service(self) -> int:
        """Return the requests of one service in the VM at a time."""
        return max(round(self.max_requests * self.max_service_share), 1)
