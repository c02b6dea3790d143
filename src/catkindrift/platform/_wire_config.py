"""The operators' configuration in the platform's store."""

from typing import Any, final

import attrs
import msgspec

from catkindrift.platform._wire_resources import (
    WireLimits,
    WireRoute,
    WireService,
)
from catkindrift.steering import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    ServiceRules,
)

_HEXADECIMAL = 16


@final
@attrs.frozen
class WireMetadata:
    """Name of a resource; limits have none."""

    name: str = ''


@final
@attrs.frozen
class WireResource:
    """One resource; `entry_kind` tells what its spec is."""

    entry_kind: str
    metadata: WireMetadata
    spec: dict[str, Any]


@final
@attrs.frozen
class WireConfiguration:
    """All resources; the version is hexadecimal."""

    version: str
    resources: list[WireResource]

    def decode(self) -> RoutingConfiguration:
        """Return the configuration.

        Raises:
            ValidationError: A resource lacks a field or holds another type.
            ValueError: A value makes no sense.
        """
        routes: list[Route] = []
        services: dict[str, ServiceRules] = {}
        limits = CallerLimits()
        for each in self.resources:
            name = each.metadata.name
            match each.entry_kind:
                case 'routes':
                    wire_route = msgspec.convert(each.spec, WireRoute)
                    routes.append(wire_route.decode(name))
                case 'services':
                    wire_service = msgspec.convert(each.spec, WireService)
                    services[name] = wire_service.decode(name)
                case 'limits':
                    limits = msgspec.convert(each.spec, WireLimits).decode()
        version = int(self.version, _HEXADECIMAL)
        return RoutingConfiguration(version, tuple(routes), services, limits)
