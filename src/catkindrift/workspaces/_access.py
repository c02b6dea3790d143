"""Check of the API key of a request."""

from typing import final

import attrs

from catkindrift.workspaces._workspace import Workspace
from catkindrift.workspaces._workspace_table import WorkspaceTable


@final
@attrs.frozen
class Unchecked:
    """The configuration holds no workspaces; requests need no key."""


@final
@attrs.frozen
class Granted:
    """The request may be served.

    Args:
        workspace: Workspace that holds its key; None for a request without a
            key on a route that needs none.
    """

    workspace: Workspace | None


@final
@attrs.frozen
class Denied:
    """The request has no key, or one that no workspace holds."""


Access = Unchecked | Granted | Denied
# The results without fields are shared by all requests.
_UNCHECKED = Unchecked()
_DENIED = Denied()


def check_access(
    table: WorkspaceTable, digest: bytes | None, *, is_anonymous: bool
) -> Access:
    """Return whether a request may be served, and for which workspace.

    Args:
        table: Workspaces of the configuration in force.
        digest: Digest of the request's key; None if it has no valid one.
        is_anonymous: Whether its route needs no key.
    """
    if not table:
        return _UNCHECKED
    workspace = table.find(digest) if digest else None
    if workspace is None and not is_anonymous:
        return _DENIED
    return Granted(workspace)
