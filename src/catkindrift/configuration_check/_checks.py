"""Entries that have no effect, and limits that contradict each other."""

from collections.abc import Iterator, Mapping

from catkindrift.configuration_check._finding import Finding, warning
from catkindrift.steering import Route, RoutingConfiguration, ServiceRules
from catkindrift.workspaces import Workspace, common_homes


def check_configuration(
    configuration: RoutingConfiguration,
    keys: Mapping[str, frozenset[str]],
    upstreams: Mapping[str, int] | None = None,
) -> list[Finding]:
    """Return what is valid in a configuration but can't be meant.

    Args:
        configuration: A valid configuration.
        keys: Digests of the API keys by name of the workspace.
        upstreams: Number of upstreams by service, None if unknown.
    """
    return [
        *_hidden_routes(configuration.routes),
        *_route_limits(configuration.routes),
        *_services(configuration),
        *_attempts(configuration.routes, upstreams or {}),
        *_workspaces(configuration.workspaces.workspaces, keys),
        *_homes(configuration),
    ]


def _place(route: Route) -> str:
    return f'route {route.name}'


def _hidden_routes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    first: dict[tuple[str, str], Route] = {}
    for route in routes:
        match = (route.host.lower(), route.path_prefix)
        earlier = first.setdefault(match, route)
        if earlier is not route:
            yield warning(
                _place(route),
                f'never matches, since route {earlier.name} has the same host '
                'and path prefix and stands before it',
                'remove one of them, or change its prefix',
            )


def _route_limits(routes: tuple[Route, ...]) -> Iterator[Finding]:
    for route in routes:
        if route.timeout_ms < route.objective_ms:
            yield warning(
                _place(route),
                f'the timeout of {route.timeout_ms} ms ends requests before '
                f'the latency objective of {route.objective_ms} ms',
                'raise the timeout or lower the objective',
            )
        if not sum(target.weight for target in route.targets):
            yield warning(
                _place(route),
                'the weights of its services sum to 0, so none is meant to '
                'get requests',
                'give at least one service a weight above 0',
            )


def _services(configuration: RoutingConfiguration) -> Iterator[Finding]:
    used = {
        target.service
        for route in configuration.routes
        for target in route.targets
    }
    for name in sorted(used - configuration.services.keys()):
        yield warning(
            f'service {name}',
            'is the target of a route but has no entry, so that its health '
            'path and cold start are unknown',
            'add an entry for the service',
        )
    for name, rules in sorted(configuration.services.items()):
        if name not in used:
            yield warning(
                f'service {name}',
                'gets no requests, since no route names it',
                'remove it, or add a route',
            )
        yield from _service_limits(rules)


def _service_limits(rules: ServiceRules) -> Iterator[Finding]:
    if rules.cold_per_second > rules.max_connections:
        yield warning(
            f'service {rules.name}',
            f'a cold upstream may get {rules.cold_per_second} requests a '
            f'second, more than its {rules.max_connections} connections',
            'lower the cold rate or raise the number of connections',
        )


def _attempts(
    routes: tuple[Route, ...], upstreams: Mapping[str, int]
) -> Iterator[Finding]:
    for route in routes:
        for target in route.targets:
            known = upstreams.get(target.service)
            if known is not None and route.max_attempts > known:
                yield warning(
                    _place(route),
                    f'allows {route.max_attempts} attempts, but service '
                    f'{target.service} has {known} upstreams',
                    'lower the number of attempts or add upstreams',
                )


def _workspaces(
    workspaces: tuple[Workspace, ...], keys: Mapping[str, frozenset[str]]
) -> Iterator[Finding]:
    for workspace in workspaces:
        place = f'workspace {workspace.name}'
        if not keys.get(workspace.name):
            yield warning(
                place,
                'has no API keys, so that none of its callers is served',
                'add a key, or remove the workspace',
            )
        if workspace.burst and not workspace.has_quota:
            yield warning(
                place,
                f'its burst of {workspace.burst} has no effect without a rate',
                'set a rate above 0, or remove the burst',
            )
        if workspace.has_quota and workspace.burst > workspace.rate_per_s:
            yield warning(
                place,
                f'its quota of {workspace.rate_per_s} requests a second is '
                f'under its burst of {workspace.burst}',
                'lower the burst or raise the rate',
            )


def _homes(configuration: RoutingConfiguration) -> Iterator[Finding]:
    for workspace in configuration.workspaces.workspaces:
        excluded = [
            route.name
            for route in configuration.routes
            if common_homes(route.home_regions, workspace.home_regions)
            == frozenset()
        ]
        if excluded:
            yield warning(
                f'workspace {workspace.name}',
                'no region is home to both it and these routes, which refuse '
                f'its requests: {", ".join(excluded)}',
                'give them a home region in common',
            )
