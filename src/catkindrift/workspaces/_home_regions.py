"""Home regions that bind a request."""


def common_homes(
    of_route: frozenset[str], of_workspace: frozenset[str]
) -> frozenset[str] | None:
    """Return the regions that may serve a request, None for all.

    Both sets bind: with homes that have no region in common, no region may
    serve the request.

    Args:
        of_route: Home regions of the route; empty for all.
        of_workspace: Home regions of the workspace; empty for all.
    """
    if of_route and of_workspace:
        return of_route & of_workspace
    return of_route or of_workspace or None
