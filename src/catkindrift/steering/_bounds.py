"""Limits on retries and cold upstreams, summed over all entry VMs."""

from typing import final

import attrs


@final
@attrs.frozen
class SteeringBounds:
    """Limits on the total over all entry VMs.

    Args:
        retry_ratio: Extra attempts allowed per request of a service.
        retry_window_ms: Window in which extra attempts are counted.
        retry_slack: Extra attempts allowed in each window in addition to
            those of `retry_ratio`.
        cold_overshoot: Factor applied to the request rate that a cold
            upstream tolerates.
        cold_slack: Requests per second allowed in addition to that rate.
    """

    retry_ratio: float
    retry_window_ms: int
    retry_slack: float
    cold_overshoot: float
    cold_slack: float
