"""Division of an upstream's slots among the entry VMs of its zone."""

from collections.abc import Iterable

from catkindrift.routing import rendezvous_order


def slot_share(
    upstream: str,
    slots: int,
    vm: str,
    zone_vms: Iterable[str],
) -> int:
    """Return the slots of an upstream that one entry VM owns.

    The shares of all entry VMs that know the same `zone_vms` sum to `slots`.

    Args:
        upstream: Name of the upstream.
        slots: Requests that the upstream runs at a time.
        vm: Entry VM whose share is asked for.
        zone_vms: Live entry VMs of the upstream's availability zone.
    """
    order = rendezvous_order(upstream, zone_vms)
    if vm not in order:
        return 0
    whole, rest = divmod(slots, len(order))
    has_extra = order.index(vm) < rest
    return whole + int(has_extra)
