"""Routes from hosts and paths to services."""

from typing import final

import attrs

from catkindrift.steering._request_kind import RequestKind


@final
@attrs.frozen
class WeightedService:
    """One service of a route and its share of the requests.

    Args:
        service: Name of the service.
        weight: Share of the requests, relative to the other services.
    """

    service: str
    weight: float = attrs.field(validator=attrs.validators.ge(0))


@final
@attrs.frozen
class Route:
    """Route from a host and a path prefix to weighted services.

    Args:
        name: Name of the route.
        host: Host header that the route matches.
        path_prefix: Path prefix that begins and ends with a slash.
        kind: Kind of its requests.
        timeout_ms: Maximum time from a request to its response.
        objective_ms: Latency objective for responses.
        priority: Priority; 0 is the highest.
        max_attempts: Maximum number of upstreams that a request is sent to.
        home_regions: Regions that may serve its requests; empty for all.
        targets: Services with their weights.
        is_anonymous: Whether its requests need no API key.
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
    is_anonymous: bool = False
