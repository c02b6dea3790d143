"""Quota of a workspace, summed over all entry VMs."""

from typing import final

import attrs

from catkindrift.workspaces._workspace import Workspace

_MILLISECONDS_PER_SECOND = 1000
# Part of the tolerance above the quota that is handed out. It covers that use
# is reported late; the rest covers requests admitted before they are reported.
_USED_TOLERANCE = 0.5


@final
@attrs.frozen
class QuotaBounds:
    """Limits on the requests of a workspace in each window.

    Args:
        window_ms: Length of the window in milliseconds.
        overshoot: Fraction by which the quota may be exceeded.
        slack: Requests in each window in addition to that.
    """

    window_ms: int = 5000
    overshoot: float = 0.1
    slack: float = 20

    def quota(self, workspace: Workspace) -> float:
        """Return the requests of a window that may not be refused."""
        window_s = self.window_ms / _MILLISECONDS_PER_SECOND
        return workspace.rate_per_s * window_s + workspace.burst

    def ceiling(self, workspace: Workspace) -> float:
        """Return the requests of a window that may never be exceeded."""
        return self.quota(workspace) * (1 + self.overshoot) + self.slack

    def ungranted(self, workspace: Workspace) -> float:
        """Return the requests that all VMs may admit before they report."""
        tolerance = self.ceiling(workspace) - self.quota(workspace)
        return tolerance * (1 - _USED_TOLERANCE)

    def target(self, workspace: Workspace) -> float:
        """Return the requests of a window that the owner hands out."""
        quota = self.quota(workspace)
        tolerance = self.ceiling(workspace) - quota
        return quota + tolerance * _USED_TOLERANCE
