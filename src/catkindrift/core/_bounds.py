"""Limits of one entry VM."""

from typing import final

import attrs


@final
@attrs.frozen
class Bounds:
    """Limits on the requests in an entry VM and on lookup responses.

    Args:
        max_requests: Requests in the VM at a time, waiting or in flight.
        max_service_share: Largest fraction of `max_requests` that one service
            may use, from 0 to 1.
        lookup_lifetime_ms: How long callers may cache a lookup response.
        stop_timeout_ms: Time within which a graceful stop has to end.
    """

    max_requests: int = 56
    max_service_share: float = 0.5
    lookup_lifetime_ms: int = 2000
    stop_timeout_ms: int = 600_000

    @property
    def max_requests_per_service(self) -> int:
        """Return the request limit of one service, at least 1."""
        return max(round(self.max_requests * self.max_service_share), 1)
