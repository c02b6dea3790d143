"""The entry VM that divides the quotas among all."""

import math
from collections.abc import Iterable, Mapping
from typing import final

import attrs

from catkindrift.workspaces._granted_use import GrantedUse
from catkindrift.workspaces._owner_contact import LEASE_MS
from catkindrift.workspaces._quota_bounds import QuotaBounds
from catkindrift.workspaces._quota_messages import (
    MAX_QUOTA_ENTRIES,
    BusyWorkspace,
    QuotaGrant,
    QuotaReply,
    QuotaReport,
    QuotaUse,
)
from catkindrift.workspaces._workspace import Workspace

# The most that a workspace exceeds its usual rate within moments: the load
# patterns of the requirements go up to 7.5 times.
_MAX_JUMP = 7.5
# Time from a request to the last reply that takes no account of it: one
# interval of reports, and two ways between regions.
_UNREPORTED_S = 0.7
# The same for workspaces near their quota, whose requests are reported at once:
# two ways between regions and the gap between reports.
_REPORTED_AT_ONCE_S = 0.1
# A grant covers the requests that come in this time at the present rate.
_GRANT_S = 1.0


@final
@attrs.define(eq=False, repr=False)
class _Client:
    heard_ms: int
    report: QuotaReport

    def is_bound(self, now_ms: int) -> bool:
        """Return whether the VM leaves its share to this owner."""
        return self.report.is_bound and now_ms - self.heard_ms < LEASE_MS

    def is_free(self, window_ms: int) -> bool:
        """Return whether no other owner divides the share of the VM."""
        return self.report.unowned_ms >= LEASE_MS + window_ms


@final
@attrs.define(eq=False, repr=False)
class QuotaOwner:
    """Divides each quota among the entry VMs that report to this one.

    A VM that reports leaves its share by member count to the owner for the
    time of the lease, so that two owners that don't know of each other never
    divide the same share.

    Args:
        own_name: Name of this entry VM.
        bounds: Limits on the requests of a workspace.
    """

    _own_name: str
    bounds: QuotaBounds
    _members: frozenset[str] = attrs.field(init=False, default=frozenset())
    _workspaces: Mapping[int, Workspace] = attrs.field(init=False, factory=dict)
    _clients: dict[str, _Client] = attrs.field(init=False, factory=dict)
    _used: dict[int, GrantedUse] = attrs.field(init=False, factory=dict)
    _known_busy: frozenset[tuple[int, bool]] = attrs.field(
        init=False, default=frozenset()
    )
    _updates: list[BusyWorkspace] = attrs.field(init=False, factory=list)

    def update(
        self, names: Iterable[str], workspaces: Mapping[int, Workspace]
    ) -> None:
        """Set who shares the quotas, and the quotas.

        Args:
            names: Entry VMs that may be alive; none if they aren't known.
            workspaces: Workspaces with a quota, by hash of the name.
        """
        self._members = frozenset(names)
        self._workspaces = workspaces
        for unknown in self._used.keys() - workspaces.keys():
            self._used.pop(unknown)

    def answer(self, report: QuotaReport, now_ms: int) -> QuotaReply | None:
        """Take a report and return the reply.

        Returns:
            The reply; None if the report is old or meant for another owner.
        """
        if report.owner != self._own_name:
            return None
        client = self._clients.get(report.vm)
        if client and client.report.version >= report.version:
            return None
        self._clients[report.vm] = _Client(now_ms - report.age_ms, report)
        part = self._own_part(now_ms)
        process = f'{report.vm}/{report.process}'
        grants = [
            self._grant(process, use, part, now_ms)
            for use in report.uses
            if use.workspace in self._workspaces
        ]
        if not part:
            return QuotaReply(
                report.vm, report.process, report.number, is_ready=False
            )
        busy = self._busy(part, now_ms)
        self._note_busy(busy)
        return QuotaReply(
            report.vm,
            report.process,
            report.number,
            is_ready=True,
            grants=tuple(grants),
            busy=tuple(busy[:MAX_QUOTA_ENTRIES]),
            is_all_full=(
                len(busy) > MAX_QUOTA_ENTRIES or not self._has_most(part)
            ),
        )

    def take_update(self) -> tuple[BusyWorkspace, ...]:
        """Return the workspaces that have become busier since the last call."""
        updates = tuple(self._updates)
        self._updates.clear()
        return updates

    def _note_busy(self, busy: Iterable[BusyWorkspace]) -> None:
        states = {(each.workspace, each.is_full): each for each in busy}
        self._updates += [
            each for key, each in states.items() if key not in self._known_busy
        ]
        self._known_busy = frozenset(states)

    def _has_most(self, part: float) -> bool:
        """Return whether all entry VMs but one are bound to this owner."""
        count = len(self._members)
        return round(part * count) >= count - 1

    def _divided(self, workspace: Workspace, part: float) -> float:
        """Return the requests of a window that this owner hands out."""
        if self._has_most(part):
            return self.bounds.target(workspace) * part
        return self.bounds.quota(workspace) * part

    def _own_part(self, now_ms: int) -> float:
        """Return the part of each quota that this owner divides.

        If all entry VMs but one report here, there is no other owner whose
        grants matter.
        """
        bound = [
            client
            for name, client in self._clients.items()
            if name in self._members and client.is_bound(now_ms)
        ]
        count = len(self._members)
        if not count:
            return 0
        if len(bound) >= count - 1:
            return len(bound) / count
        window_ms = self.bounds.window_ms
        return sum(each.is_free(window_ms) for each in bound) / count

    def _grant(
        self, process: str, use: QuotaUse, part: float, now_ms: int
    ) -> QuotaGrant:
        workspace = self._workspaces[use.workspace]
        used = self._used.get(use.workspace)
        if used is None:
            used = GrantedUse(self.bounds.window_ms, LEASE_MS)
            self._used[use.workspace] = used
        per_s = used.record(process, use, now_ms)
        room = self._divided(workspace, part)
        room -= used.admitted(now_ms) + used.all_held()
        wanted = math.floor(per_s * _GRANT_S)
        busy = self._busy_state(use.workspace, used, part, now_ms)
        if busy is None or not busy.is_full:
            room -= used.offered_per_s(now_ms) * _REPORTED_AT_ONCE_S
        else:
            wanted += 1
        room = math.floor(room + used.held(process))
        granted = max(0, min(wanted, room))
        used.promise(process, use, use.admitted + granted)
        return QuotaGrant(use.workspace, use.admitted + granted)

    def _busy(self, part: float, now_ms: int) -> list[BusyWorkspace]:
        """Return the workspaces that a jump could bring over the quota."""
        states = (
            self._busy_state(workspace_id, used, part, now_ms)
            for workspace_id, used in self._used.items()
        )
        return [each for each in states if each]

    def _busy_state(
        self, workspace_id: int, used: GrantedUse, part: float, now_ms: int
    ) -> BusyWorkspace | None:
        """Return whether a jump could exceed the quota before it is known.

        What comes before it is known uses the grants first.
        """
        ceiling = self.bounds.ceiling(self._workspaces[workspace_id])
        left = ceiling * part - used.admitted(now_ms)
        jump_per_s = used.offered_per_s(now_ms) * _MAX_JUMP
        if left >= max(jump_per_s * _UNREPORTED_S, used.all_held()):
            return None
        jump = jump_per_s * _REPORTED_AT_ONCE_S
        return BusyWorkspace(
            workspace_id,
            used.room_ms(now_ms),
            left < max(jump, used.all_held()),
        )
