"""Callers that share API keys, a priority and a quota."""

from typing import final

import attrs


@final
@attrs.frozen
class Workspace:
    """A tenant of the deployment, as the configuration describes it.

    Args:
        name: Name, which upstreams receive with each request.
        priority: Rank before the route's, 0 is the highest; None to leave the
            rank to the route.
        rate_per_s: Requests per second over all entry VMs; 0 for no quota.
        burst: Requests beyond that rate in a window.
        home_regions: Regions that may serve its requests; empty for all.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    priority: int | None = None
    rate_per_s: float = attrs.field(default=0, validator=attrs.validators.ge(0))
    burst: float = attrs.field(default=0, validator=attrs.validators.ge(0))
    home_regions: frozenset[str] = frozenset()

    @property
    def has_quota(self) -> bool:
        """Whether the requests of the workspace are limited."""
        return self.rate_per_s > 0
