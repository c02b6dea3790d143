"""Wire format of the operators' configuration in the platform's store."""

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
    """Metadata of a resource; the name of a `limits` resource is empty."""

    name: str = ''


@final
@attrs.frozen
class WireResource:
    """One resource; `entry_kind` determines the type of its spec."""

    entry_kind: str
    metadata: WireMetadata
    spec: dict[str, Any]


@final
@attrs.frozen
class WireConfiguration:
    """All resources, and the version as a hexadecimal number."""

    version: str
    resources: list[WireResource]

    def decode(self) -> RoutingConfiguration:
        """Return the routing configuration.

        Resources of other kinds are ignored.

        Raises:
            ValidationError: A field is missing or has the wrong type.
            ValueError: A value is out of range or the version malformed.
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
