"""Heartbeat of the build before quotas; frozen, not to be changed."""

import attrs

from catkindrift.blame import Cleared, Crash
from catkindrift.steering import LimitNotice, MemberFacts, Sighting


@attrs.frozen
class PreviousHeartbeat:
    """Fields of a heartbeat as commit ad135b8 has them."""

    sender: MemberFacts
    heard: tuple[MemberFacts, ...]
    revisions: dict[str, int]
    crashes: tuple[Crash, ...] = ()
    answer_age_ms: int | None = None
    cleared: tuple[Cleared, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    unheard: tuple[tuple[str, int], ...] = ()
    reached_age_ms: int | None = None
    heard_ages_ms: tuple[int, ...] = ()
    sightings: tuple[Sighting, ...] = ()
