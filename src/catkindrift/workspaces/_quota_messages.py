"""What entry VMs and the owner of the quotas tell each other."""

from typing import NamedTuple, final

# Entries of one report or reply; each takes about 20 bytes, so that a
# heartbeat fits a datagram of 1,400 bytes.
MAX_QUOTA_ENTRIES = 40


@final
class QuotaUse(NamedTuple):
    """Requests of one workspace at one entry VM; encoded as a short list.

    Args:
        workspace: Hash of its name.
        admitted: Requests admitted since the start of the process.
        recent: Those of the last window.
        offered: All requests since the start of the process.
        granted: Value that `admitted` may reach by the newest reply.
    """

    workspace: int
    admitted: int
    recent: int
    offered: int
    granted: int


@final
class QuotaReport(NamedTuple):
    """What an entry VM tells the owner of the quotas.

    Args:
        owner: Name of the owner that it is meant for.
        vm: Name of the entry VM that has written it.
        process: Start of its process; greater for later ones.
        number: Sequence number within the process.
        is_bound: Whether it has left its share to this owner for now.
        unowned_ms: Time for which it has reported to no other owner.
        uses: Use of the workspaces that are busy here.
        age_ms: Time since it was written.
    """

    owner: str
    vm: str
    process: int
    number: int
    is_bound: bool
    unowned_ms: int
    uses: tuple[QuotaUse, ...] = ()
    age_ms: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Order of the reports of one VM; newer ones compare greater."""
        return (self.process, self.number)


@final
class BusyWorkspace(NamedTuple):
    """A workspace that is near its quota.

    Args:
        workspace: Hash of its name.
        room_ms: Time until there is room for further requests.
        is_full: Whether a grant is needed; otherwise each request that is
            admitted without one has to be reported at once.
    """

    workspace: int
    room_ms: int
    is_full: bool


@final
class QuotaGrant(NamedTuple):
    """Permission of the owner to admit requests of a workspace.

    Args:
        workspace: Hash of its name.
        granted: Value that the admitted requests of the process may reach.
    """

    workspace: int
    granted: int


@final
class QuotaReply(NamedTuple):
    """The answer of the owner to one report.

    Args:
        vm: Name of the entry VM that it is meant for.
        process: Start of its process.
        number: Number of the report that it answers.
        is_ready: Whether the owner has shares to divide; otherwise the grants
            of the former owner stay valid.
        grants: Permissions for the workspaces of that report.
        busy: Workspaces near their quota; all others may be admitted without
            a grant for a short time.
        is_all_full: Whether all workspaces need a grant.
    """

    vm: str
    process: int
    number: int
    is_ready: bool
    grants: tuple[QuotaGrant, ...] = ()
    busy: tuple[BusyWorkspace, ...] = ()
    is_all_full: bool = False


@final
class QuotaMessage(NamedTuple):
    """Field of a heartbeat.

    Args:
        reports: Reports to the owner.
        replies: Replies of the owner.
        busy: Workspaces that have become busier, told by the owner itself.
    """

    reports: tuple[QuotaReport, ...] = ()
    replies: tuple[QuotaReply, ...] = ()
    busy: tuple[BusyWorkspace, ...] = ()
