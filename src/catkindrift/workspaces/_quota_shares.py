"""Decision of one entry VM on requests of workspaces with a quota."""

from collections.abc import Iterable
from typing import final

import attrs
import xxhash

from catkindrift.rendezvous import rendezvous_order
from catkindrift.workspaces._owner_contact import LEASE_MS, OwnerContact
from catkindrift.workspaces._quota_bounds import QuotaBounds
from catkindrift.workspaces._quota_counts import QuotaCounts
from catkindrift.workspaces._quota_messages import (
    MAX_QUOTA_ENTRIES,
    BusyWorkspace,
    QuotaReply,
    QuotaReport,
)
from catkindrift.workspaces._quota_owner import QuotaOwner
from catkindrift.workspaces._quota_share import QuotaShare, ShareKind
from catkindrift.workspaces._workspace import Workspace

# Bits of the hash by which messages name a workspace.
_HASH_BITS = 32
# Without a grant, requests are admitted only on a reply that is newer than
# this, so that VMs which are cut off soon need grants; one report may be lost.
_MAX_UNGRANTED_AGE_MS = 1300
# The same near the quota: an interval of reports with its jitter.
_MAX_BUSY_AGE_MS = 800
# Reports that are sent at once are so far apart.
_MIN_REPORT_GAP_MS = 50
# Requests beyond the grant between two replies, for VMs whose part of what is
# tolerated is smaller.
_MIN_UNGRANTED = 3
# Part of these after which the owner is told at once, before they run out.
_UNEXPECTED_FRACTION = 0.5
# A process that has just started admits this part of the quota, but at least
# one request, in each window while it knows neither members nor owner.
_STARTING_FRACTION = 0.015


def workspace_hash(name: str) -> int:
    """Return the number by which messages name a workspace."""
    return xxhash.xxh3_64_intdigest(name.encode()) % (1 << _HASH_BITS)


@final
@attrs.define(eq=False, repr=False)
class _Lease:
    """What the newest reply of an owner permits."""

    sent_ms: int
    busy: dict[int, BusyWorkspace]
    is_all_full: bool

    def is_full(self, workspace: int) -> bool:
        """Return whether requests of a workspace need a grant."""
        busy = self.busy.get(workspace)
        return self.is_all_full or (busy is not None and busy.is_full)


@final
@attrs.define(eq=False, repr=False)
class QuotaShares:
    """Admits requests by what the owner of the quotas has granted.

    Args:
        own_name: Name of this entry VM.
        process: Start of the process; greater for later ones.
        started_ms: The same by the clock of all decisions.
        bounds: Limits on the requests of a workspace.
        owner: Divides the quotas when other VMs take this one for the owner.
    """

    _own_name: str
    _process: int
    _started_ms: int
    bounds: QuotaBounds
    _counts: dict[int, QuotaCounts] = attrs.field(init=False, factory=dict)
    _members: tuple[str, ...] = attrs.field(init=False, default=())
    _shares: dict[int, int] = attrs.field(init=False, factory=dict)
    _lease: _Lease | None = attrs.field(init=False, default=None)
    _is_report_due: bool = attrs.field(init=False, default=False)
    _reported_ms: int = attrs.field(init=False, default=0)
    _contact: OwnerContact = attrs.field(init=False)
    owner: QuotaOwner = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the contact to the owner, and what it needs to be one."""
        self._contact = OwnerContact(self._own_name, self._started_ms)
        self.owner = QuotaOwner(self._own_name, self.bounds)

    def update(
        self,
        names: Iterable[str],
        alive: Iterable[str],
        workspaces: Iterable[Workspace],
    ) -> None:
        """Set the entry VMs and the workspaces.

        Args:
            names: Entry VMs that may be alive; none if they aren't known.
            alive: Other entry VMs that are heard.
            workspaces: All workspaces.
        """
        self._members = tuple(names)
        self._shares.clear()
        limited = {
            workspace_hash(each.name): each
            for each in workspaces
            if each.has_quota
        }
        for unknown in self._counts.keys() - limited.keys():
            self._counts.pop(unknown)
        self.owner.bounds = self.bounds
        self.owner.update(self._members, limited)
        self._contact.update(alive)

    def try_admit(self, workspace: Workspace, now_ms: int) -> float:
        """Decide on one request.

        Returns:
            0 if it is admitted, otherwise the milliseconds until there may be
            room for it.
        """
        if not workspace.has_quota:
            return 0
        workspace_id = workspace_hash(workspace.name)
        counts = self._counts.setdefault(workspace_id, QuotaCounts())
        counts.offered += 1
        counts.offered_ms = now_ms
        if self._has_room(workspace, workspace_id, counts, now_ms):
            counts.admit(now_ms)
            return 0
        lease = self._lease
        busy = lease.busy.get(workspace_id) if lease else None
        if lease and busy:
            return max(1, busy.room_ms - (now_ms - lease.sent_ms))
        return counts.room_ms(now_ms, self.bounds.window_ms)

    def give_back(self, workspace: Workspace) -> None:
        """Take back the admission of a request that was not run."""
        counts = self._counts.get(workspace_hash(workspace.name))
        if counts:
            counts.give_back()

    def share(self, workspace: Workspace, now_ms: int) -> QuotaShare:
        """Return what this VM may admit of a workspace, for the log."""
        workspace_id = workspace_hash(workspace.name)
        counts = self._counts.get(workspace_id, QuotaCounts())
        lease = self._valid_lease(now_ms)
        if lease:
            left = max(0, counts.left(now_ms))
            return QuotaShare(ShareKind.GRANTED, left, now_ms - lease.sent_ms)
        return QuotaShare(
            ShareKind.FIXED,
            int(self._unleased_share(workspace, workspace_id, now_ms)),
            now_ms - self._contact.bound_until_ms,
        )

    def is_report_due(self, now_ms: int) -> bool:
        """Return whether the next report can't wait for its interval."""
        gap_ms = now_ms - self._reported_ms
        return self._is_report_due and gap_ms >= _MIN_REPORT_GAP_MS

    def report(self, now_ms: int) -> QuotaReport:
        """Return the next report to the owner."""
        self._is_report_due = False
        self._reported_ms = now_ms
        contact = self._contact
        window_ms = self.bounds.window_ms
        oldest_ms = now_ms - window_ms - LEASE_MS
        busy = [
            (workspace_id, counts)
            for workspace_id, counts in self._counts.items()
            if counts.offered_ms > oldest_ms
        ]
        busy.sort(key=_newest_first)
        number = contact.next_number(now_ms)
        return QuotaReport(
            contact.owner,
            self._own_name,
            self._process,
            number,
            contact.is_bound(now_ms),
            contact.unowned_ms(now_ms),
            tuple(
                counts.as_use(workspace_id, now_ms, window_ms)
                for workspace_id, counts in busy[:MAX_QUOTA_ENTRIES]
            ),
        )

    def apply_update(
        self, owner: str, updates: Iterable[BusyWorkspace]
    ) -> None:
        """Take what an owner tells all VMs at once."""
        if self._lease and owner == self._contact.owner:
            self._lease.busy.update((each.workspace, each) for each in updates)

    def apply(self, owner: str, reply: QuotaReply, now_ms: int) -> None:
        """Take the reply of an owner."""
        if (reply.vm, reply.process) != (self._own_name, self._process):
            return
        sent_ms = self._contact.record_reply(owner, reply.number, now_ms)
        if sent_ms is None or not reply.is_ready:
            return
        busy = {each.workspace: each for each in reply.busy}
        self._lease = _Lease(sent_ms, busy, reply.is_all_full)
        granted = {each.workspace: each.granted for each in reply.grants}
        for workspace_id, counts in self._counts.items():
            counts.grant(
                granted.get(workspace_id, counts.admitted), sent_ms + LEASE_MS
            )

    def _has_room(
        self,
        workspace: Workspace,
        workspace_id: int,
        counts: QuotaCounts,
        now_ms: int,
    ) -> bool:
        lease = self._valid_lease(now_ms)
        if lease is None:
            share = self._unleased_share(workspace, workspace_id, now_ms)
            return counts.recent(now_ms, self.bounds.window_ms) < share
        left = counts.left(now_ms)
        if left > 0:
            return True
        if lease.is_full(workspace_id):
            return False
        is_busy = workspace_id in lease.busy
        newest_ms = _MAX_BUSY_AGE_MS if is_busy else _MAX_UNGRANTED_AGE_MS
        most = max(
            _MIN_UNGRANTED,
            self.bounds.ungranted(workspace) / max(1, len(self._members)),
        )
        is_old = now_ms - lease.sent_ms >= newest_ms
        if is_old or -left >= most:
            return False
        is_unexpected = 1 - left >= most * _UNEXPECTED_FRACTION
        self._is_report_due = self._is_report_due or is_busy or is_unexpected
        return True

    def _valid_lease(self, now_ms: int) -> _Lease | None:
        lease = self._lease
        if lease and now_ms - lease.sent_ms < LEASE_MS:
            return lease
        return None

    def _unleased_share(
        self, workspace: Workspace, workspace_id: int, now_ms: int
    ) -> float:
        """Return what may be admitted in a window without a lease.

        The share by member count starts when what the owner has made of it
        for other VMs has left the window.
        """
        since_ms = now_ms - self._contact.bound_until_ms
        if self._lease is None and not self._members:
            return max(1, self.bounds.quota(workspace) * _STARTING_FRACTION)
        if since_ms < LEASE_MS + self.bounds.window_ms:
            return 0
        share = self._shares.get(workspace_id)
        if share is None:
            share = self._deal(workspace)
            self._shares[workspace_id] = share
        return share

    def _deal(self, workspace: Workspace) -> int:
        """Return the part of the whole requests that this VM is dealt."""
        names = self._members
        if self._own_name not in names:
            return 0
        quota = int(self.bounds.quota(workspace))
        each, rest = divmod(quota, len(names))
        rank = rendezvous_order(workspace.name, names).index(self._own_name)
        return each + (rank < rest)


def _newest_first(entry: tuple[int, QuotaCounts]) -> int:
    return -entry[1].offered_ms
