"""Routing configuration set by operators."""

from collections.abc import Mapping
from typing import final

import attrs

from catkindrift.steering._caller_limits import CallerLimits
from catkindrift.steering._route import Route
from catkindrift.steering._service_rules import ServiceRules
from catkindrift.workspaces import WorkspaceTable


def _by_host(routes: tuple[Route, ...]) -> dict[str, list[Route]]:
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=_prefix_length, reverse=True):
        by_host.setdefault(route.host.lower(), []).append(route)
    return by_host


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


@final
@attrs.frozen
class RoutingConfiguration:
    """One version of the routes, service rules and caller limits.

    Args:
        version: Number that increases with each change.
        routes: All routes.
        services: Rules by name of the service.
        limits: Limits on caller connections.
        workspaces: Workspaces and their keys; none if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceRules]
    limits: CallerLimits
    workspaces: WorkspaceTable = WorkspaceTable()
    _routes_by_host: Mapping[str, list[Route]] = attrs.field(
        init=False,
        repr=False,
        eq=False,
    )
    _top_priority: Mapping[str, int] = attrs.field(
        init=False,
        repr=False,
        eq=False,
    )

    def __attrs_post_init__(self) -> None:
        """Index the routes by host and the top priority by service."""
        object.__setattr__(self, '_routes_by_host', _by_host(self.routes))
        object.__setattr__(self, '_top_priority', self._top_priorities())

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of `path`.

        Args:
            host: Host header of the request, with or without a port.
            path: Path without the query.

        Returns:
            The route, or None if no route matches.
        """
        name = host.partition(':')[0].lower()
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def is_most_urgent(self, route: Route, service: str) -> bool:
        """Return whether no route to `service` has a higher priority."""
        return route.priority <= self._top_priority.get(service, 0)

    def _top_priorities(self) -> dict[str, int]:
        priorities: dict[str, int] = {}
        for route in self.routes:
            for target in route.targets:
                known = priorities.get(target.service, route.priority)
                priorities[target.service] = min(known, route.priority)
        return priorities
