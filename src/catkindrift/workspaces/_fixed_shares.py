"""Fixed shares of quotas in fleets that are too large for one owner."""

from collections import deque
from typing import final

import attrs

from catkindrift.workspaces._quota_bounds import QuotaBounds
from catkindrift.workspaces._workspace import Workspace

# Requests in a window. At half of the quota, arrivals at random exceed a share
# of 8 in 2% of the windows, one of 4 in 5% (Poisson distribution).
_MIN_SHARE = 8


@final
@attrs.define(eq=False, repr=False)
class FixedShares:
    """Admits an equal part of each quota at each entry VM.

    The parts sum to no more than the limit, whichever VMs hear each other. A
    workspace whose part is too small to be useful is not limited here.
    """

    _admitted_ms: dict[str, deque[int]] = attrs.field(init=False, factory=dict)

    def try_admit(
        self,
        workspace: Workspace,
        bounds: QuotaBounds,
        vm_count: int,
        now_ms: int,
    ) -> float:
        """Decide on one request.

        Args:
            workspace: Workspace of the request.
            bounds: Limits on the requests of a workspace.
            vm_count: Number of entry VMs that may be alive.
            now_ms: Present time.

        Returns:
            0 if it is admitted, otherwise the milliseconds until there is
            room for it.
        """
        share = int(bounds.ceiling(workspace) / vm_count)
        if share < _MIN_SHARE:
            return 0
        admitted = self._admitted_ms.setdefault(workspace.name, deque())
        while admitted and now_ms - admitted[0] >= bounds.window_ms:
            admitted.popleft()
        if len(admitted) >= share:
            return admitted[-share] + bounds.window_ms - now_ms
        admitted.append(now_ms)
        return 0

    def give_back(self, workspace: Workspace) -> None:
        """Take back the admission of a request that was not run."""
        admitted = self._admitted_ms.get(workspace.name)
        if admitted:
            admitted.pop()
