"""Heartbeat of builds before membership by zone, to test both directions."""

import attrs

from catkindrift.blame import Cleared, Crash
from catkindrift.steering import LimitNotice, Sighting


@attrs.frozen
class OldMemberFacts:
    """Facts about an entry VM as commit a19cbdc sends them."""

    name: str
    started_ms: int
    zone: str
    region: str
    callers: str
    peers: str
    is_ready: bool
    count: int
    reaches_upstreams: bool = True


@attrs.frozen
class OldHeartbeat:
    """Heartbeat as commit a19cbdc sends it."""

    sender: OldMemberFacts
    heard: tuple[OldMemberFacts, ...]
    revisions: dict[str, int]
    crashes: tuple[Crash, ...] = ()
    answer_age_ms: int | None = None
    cleared: tuple[Cleared, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    unheard: tuple[tuple[str, int], ...] = ()
    reached_age_ms: int | None = None
    heard_ages_ms: tuple[int, ...] = ()
    sightings: tuple[Sighting, ...] = ()
