"""Routing configuration set by operators."""

from collections.abc import Iterator, Mapping
from typing import final

import attrs

from catkindrift.steering._caller_limits import CallerLimits
from catkindrift.steering._route import Route
from catkindrift.steering._service_rules import ServiceRules
from catkindrift.workspaces import WorkspaceTable

# Routes by host and path prefix.
_RouteIndex = Mapping[str, Mapping[str, Route]]


def _by_host(routes: tuple[Route, ...]) -> _RouteIndex:
    """Return the index; of routes with equal host and prefix, the first."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_prefix = by_host.setdefault(route.host.lower(), {})
        by_prefix.setdefault(route.path_prefix, route)
    return by_host


def _prefixes(path: str, longest: int) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, longest first.

    Args:
        path: Path of a request, of any length.
        longest: Longest prefix to yield, in characters.
    """
    end = path.rfind('/', 0, longest)
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)


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
    _routes_by_host: _RouteIndex = attrs.field(
        init=False,
        repr=False,
        eq=False,
    )
    _longest_prefix: int = attrs.field(init=False, repr=False, eq=False)
    _top_priority: Mapping[str, int] = attrs.field(
        init=False,
        repr=False,
        eq=False,
    )

    def __attrs_post_init__(self) -> None:
        """Index the routes by host and the top priority by service."""
        object.__setattr__(self, '_routes_by_host', _by_host(self.routes))
        lengths = (len(route.path_prefix) for route in self.routes)
        object.__setattr__(self, '_longest_prefix', max(lengths, default=0))
        object.__setattr__(self, '_top_priority', self._top_priorities())

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of `path`.

        The time depends on the segments of the path, not on the routes.

        Args:
            host: Host header of the request, with or without a port.
            path: Path without the query.

        Returns:
            The route, or None if no route matches.
        """
        name = host.partition(':')[0].lower()
        by_prefix = self._routes_by_host.get(name, {})
        prefixes = _prefixes(path, self._longest_prefix)
        found = map(by_prefix.get, prefixes)
        return next(filter(None, found), None)

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
