"""Service settings set by operators."""

from typing import final

import attrs


@final
@attrs.frozen
class ServiceRules:
    """Health check and limits of the upstreams of one service.

    Args:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Maximum number of connections from all entry VMs to
            one upstream.
        cold_start_ms: Time for which an upstream is cold after its start.
        cold_per_second: Requests per second that a cold upstream tolerates.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_ms: int
    cold_per_second: float
