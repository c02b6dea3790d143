"""Division of an upstream's slots among the entry VMs of its zone."""

from collections.abc import Iterable

from catkindrift.rendezvous import rendezvous_order


def slot_share(
    upstream: str,
    slots: int,
    vm: str,
    zone_vms: Iterable[str],
) -> int:
    """Return the number of slots of an upstream that one entry VM owns.

    Every VM gets an equal share; rendezvous order decides who gets the
    remainder. The shares computed from the same `zone_vms` sum to `slots`.

    Args:
        upstream: Name of the upstream.
        slots: Number of requests that the upstream runs at a time.
        vm: Entry VM whose share to compute.
        zone_vms: Live entry VMs of the upstream's availability zone.

    Returns:
        The share, 0 when `vm` is not among `zone_vms`.
    """
    order = rendezvous_order(upstream, zone_vms)
    if vm not in order:
        return 0
    base, remainder = divmod(slots, len(order))
    has_extra = order.index(vm) < remainder
    return base + int(has_extra)
