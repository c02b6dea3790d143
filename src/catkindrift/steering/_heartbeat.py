"""What an entry VM tells the others about itself."""

from typing import final

import attrs

from catkindrift.retries import Cleared, Crash


@final
@attrs.frozen
class MemberFacts:
    """Where an entry VM is, and whether callers may be sent to it.

    Args:
        name: Name of the VM.
        started_ms: Wall time of the process's start; tells its runs apart.
        zone: Availability zone.
        region: Region of that zone.
        callers: Address for callers, ``IP:port``.
        peers: Address for other entry VMs, ``IP:port``.
        is_ready: Whether callers may be sent to it.
        count: Rises with every heartbeat of one run.
    """

    name: str
    started_ms: int
    zone: str
    region: str
    callers: str
    peers: str
    is_ready: bool
    count: int

    @property
    def version(self) -> tuple[int, int]:
        """Return what orders the facts about one VM by age."""
        return (self.started_ms, self.count)


@final
@attrs.frozen
class Heartbeat:
    """One datagram between entry VMs.

    Args:
        sender: Facts about the sender.
        heard: Facts about others that the sender heard of lately.
        crashes: Crashes that the sender or another has seen lately.
        revisions: Newest store revision known to the sender, by kind.
        answer_age_ms: Age of the newest answer of the platform's store to the
            sender itself; nothing if it had none.
        cleared: Suspected requests that were answered lately.
    """

    sender: MemberFacts
    heard: tuple[MemberFacts, ...]
    revisions: dict[str, int]
    crashes: tuple[Crash, ...] = ()
    answer_age_ms: int | None = None
    cleared: tuple[Cleared, ...] = ()
