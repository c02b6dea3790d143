"""Bounds that operators and the platform set for all entry VMs together."""

from typing import final

import attrs


@final
@attrs.frozen
class SteeringBounds:
    """Shared bounds.

    Args:
        retry_ratio: Extra attempts allowed for each request of a service.
        retry_window_ms: Window in which extra attempts are counted.
        retry_slack: Extra attempts allowed besides, in each window.
        cold_overshoot: Factor on the pace of a cold upstream.
        cold_slack: Requests allowed besides that pace in one second.
    """

    retry_ratio: float
    retry_window_ms: int
    retry_slack: float
    cold_overshoot: float
    cold_slack: float
