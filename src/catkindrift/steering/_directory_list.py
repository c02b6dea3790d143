"""Addresses of entry VMs that the directory returns to callers."""

from collections.abc import Iterable

from catkindrift.steering._heartbeat import MemberFacts

# A caller that knows a single entry VM is cut off when that VM fails.
_MIN_ADDRESSES = 2
# Callers accept at most this many addresses.
_MAX_ADDRESSES = 64


def nearest(
    members: list[MemberFacts], zone: str, region: str, min_count: int
) -> list[MemberFacts]:
    """Return the entry VMs of a zone, or else those of its region, or all.

    Args:
        members: Entry VMs to choose from.
        zone: Availability zone.
        region: Region of that zone.
        min_count: With fewer in the zone, all of the region are returned.
    """
    near = [each for each in members if each.zone == zone]
    if len(near) < min_count:
        near = [each for each in members if each.region == region]
    return near or members


def addresses_for(
    members: Iterable[MemberFacts],
    zone: str,
    region: str,
) -> list[str]:
    """Return the addresses of the ready entry VMs nearest to a caller.

    Callers choose an address at random, so the result holds only entry VMs
    of the caller's zone; of its region if the zone has too few; or all if
    the region has none. Those that are cut off from all upstreams count only
    if all others are too.

    Args:
        members: Entry VMs that are alive, including this one.
        zone: Availability zone of the caller.
        region: Region of the caller.

    Returns:
        Sorted addresses, ``IP:port``; empty if no entry VM is ready.
    """
    ready = [each for each in members if each.is_ready]
    able = [each for each in ready if each.can_serve] or ready
    chosen = nearest(able, zone, region, _MIN_ADDRESSES)
    return sorted(each.callers for each in chosen)[:_MAX_ADDRESSES]
