"""Wire formats of the resources in the operators' configuration."""

from typing import final

import attrs

from catkindrift.steering import (
    CallerLimits,
    RequestKind,
    Route,
    ServiceRules,
    WeightedService,
)
from catkindrift.workspaces import Workspace

_MILLISECONDS_PER_SECOND = 1000


def _milliseconds(seconds: float) -> int:
    return round(seconds * _MILLISECONDS_PER_SECOND)


@final
@attrs.frozen
class WireSplit:
    """One service of a route and its share of the requests."""

    service: str
    weight: float


@final
@attrs.frozen
class WireRoute:
    """A route with either `service` or `split`; `service` takes precedence."""

    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    max_attempts: int = 1
    slo_latency_s: float = 0
    priority: int = 0
    service: str = ''
    split: list[WireSplit] = attrs.field(factory=list)
    home_regions: list[str] = attrs.field(factory=list)
    anonymous: bool = False

    def decode(self, name: str) -> Route:
        """Return the route.

        Raises:
            ValueError: A value is out of range.
        """
        targets = [
            WeightedService(each.service, each.weight) for each in self.split
        ]
        if self.service:
            targets = [WeightedService(self.service, 1)]
        return Route(
            name=name,
            host=self.host,
            path_prefix=self.path_prefix,
            kind=_parse_kind(self.kind),
            timeout_ms=_milliseconds(self.timeout_s),
            objective_ms=_milliseconds(self.slo_latency_s),
            priority=self.priority,
            max_attempts=self.max_attempts,
            home_regions=frozenset(self.home_regions),
            targets=tuple(targets),
            is_anonymous=self.anonymous,
        )


@final
@attrs.frozen
class WireService:
    """Health check, connection limit and cold start of a service."""

    health_path: str = '/health'
    max_conns: int = 1
    cold_start_s: float = 0
    cold_per_s: float = 1

    def decode(self, name: str) -> ServiceRules:
        """Return the rules of the service."""
        return ServiceRules(
            name,
            self.health_path,
            self.max_conns,
            _milliseconds(self.cold_start_s),
            self.cold_per_s,
        )


@final
@attrs.frozen
class WireWorkspace:
    """A workspace, its API keys and its quota."""

    api_keys: list[str] = attrs.field(factory=list)
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    home_regions: list[str] = attrs.field(factory=list)

    def decode(self, name: str) -> Workspace:
        """Return the workspace without its keys.

        Raises:
            ValueError: A value is out of range.
        """
        return Workspace(
            name,
            self.priority,
            self.rate_per_s,
            self.burst,
            frozenset(self.home_regions),
        )


@final
@attrs.frozen
class WireLimits:
    """Size and time limits on callers' requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float

    def decode(self) -> CallerLimits:
        """Return the limits with times in milliseconds."""
        return CallerLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            _milliseconds(self.header_timeout_s),
            _milliseconds(self.idle_timeout_s),
        )


def _parse_kind(kind: str) -> RequestKind:
    """Return the request kind.

    An unknown kind counts as unsafe, so that its requests are not retried.
    """
    try:
        return RequestKind(kind)
    except ValueError:
        return RequestKind.UNSAFE
