"""Routes from hosts and paths to services."""

from typing import final

import attrs

from catkindrift.steering._request_kind import RequestKind


@final
@attrs.frozen
class WeightedService:
    """One service of a route and its part of the requests.

    Args:
        service: Name of the service.
        weight: Part of the requests, relative to the other services.
    """

    service: str
    weight: float = attrs.field(validator=attrs.validators.ge(0))


@final
@attrs.frozen
class Route:
    """Where requests go, and what may be done with them.

    Args:
        name: Name of the route.
        host: Host that callers name.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_ms: Longest time that a caller is kept waiting.
        objective_ms: Time within which an answer is worth most.
        priority: Rank; 0 is the most urgent.
        max_attempts: Upstreams to which one request may be sent.
        home_regions: Regions that may serve it; empty for all.
        targets: Services with their weights.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: int = attrs.field(validator=attrs.validators.gt(0))
    objective_ms: int
    priority: int
    max_attempts: int = attrs.field(validator=attrs.validators.ge(1))
    home_regions: frozenset[str]
    targets: tuple[WeightedService, ...] = attrs.field(
        validator=attrs.validators.min_len(1),
    )
