"""What operators state about a service."""

from typing import final

import attrs


@final
@attrs.frozen
class ServiceRules:
    """Limits of the upstreams of one service.

    Args:
        name: Name of the service.
        health_path: Path that tells whether an upstream is healthy.
        max_connections: Connections an upstream takes from all entry VMs.
        cold_start_ms: Time for which an upstream is cold after its start.
        cold_per_second: Requests a second that a cold upstream tolerates.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_ms: int
    cold_per_second: float
