"""Division of a shift's cap among entry VMs."""

from collections import Counter
from collections.abc import Iterable

import attrs

from catkindrift.domain import CapShare, Shift
from catkindrift.rendezvous import rendezvous_order


def divide_cap(
    shift: str, cap: int, vms: Iterable[str]
) -> tuple[CapShare, ...]:
    """Return integer shares that add up to the cap.

    If the cap is below the number of VMs, some VMs get no share: rounding
    each share up would exceed the cap.

    Args:
        shift: Name of the shift, which orders the VMs for the remainder.
        cap: Requests per second.
        vms: Names of the entry VMs of the source region.

    Returns:
        The shares above zero; empty without VMs.
    """
    order = rendezvous_order(shift, vms)
    if not order:
        return ()
    quotient, remainder = divmod(cap, len(order))
    larger = [CapShare(vm, quotient + 1) for vm in order[:remainder]]
    smaller = [CapShare(vm, quotient) for vm in order[remainder:] if quotient]
    return (*larger, *smaller)


def retire_shares(shift: Shift, vms: frozenset[str]) -> Shift:
    """Mark the shares of VMs other than `vms` as retiring."""
    return attrs.evolve(
        shift,
        shares=tuple(
            share if share.vm in vms else attrs.evolve(share, retiring=True)
            for share in shift.shares
        ),
    )


def redistribute_released(
    shift: Shift,
    released: frozenset[str],
    vms: frozenset[str],
) -> Shift:
    """Distribute the shares of released holders among other VMs.

    Args:
        shift: The shift.
        released: Names of retiring holders whose shares have expired.
        vms: Names of the entry VMs that may hold shares.
    """
    kept = [share for share in shift.shares if share.vm not in released]
    retiring = {share.vm for share in kept if share.retiring}
    amounts = Counter(
        {share.vm: share.requests_per_second for share in kept},
    )
    recipients = rendezvous_order(shift.name, vms - retiring)
    free = shift.cap_per_second - amounts.total()
    for index in range(free if recipients else 0):
        amounts[recipients[index % len(recipients)]] += 1
    shares = tuple(
        CapShare(vm, amount, retiring=vm in retiring)
        for vm, amount in amounts.items()
    )
    return attrs.evolve(shift, shares=shares)
