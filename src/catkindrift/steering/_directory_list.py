"""Which entry VMs a caller is sent to."""

from collections.abc import Iterable

from catkindrift.steering._heartbeat import MemberFacts

# A caller that knows one VM only is lost with it.
_MIN_ADDRESSES = 2
# Callers take at most this many addresses.
_MAX_ADDRESSES = 64


def addresses_for(
    members: Iterable[MemberFacts],
    zone: str,
    region: str,
) -> list[str]:
    """Return the addresses of ready entry VMs near a caller.

    Callers choose at random among the addresses, so only the nearest are
    named: those of the zone, or of the region if the zone has too few, or
    all if the region has none.

    Args:
        members: Entry VMs that are alive, this one too.
        zone: The caller's availability zone.
        region: The caller's region.
    """
    ready = [each for each in members if each.is_ready]
    near = [each for each in ready if each.zone == zone]
    if len(near) < _MIN_ADDRESSES:
        near = [each for each in ready if each.region == region]
    chosen = near or ready
    return sorted(each.callers for each in chosen)[:_MAX_ADDRESSES]
