"""Division of a shift's cap among entry VMs."""

from collections import Counter
from collections.abc import Iterable

import attrs

from catkindrift.domain import CapShare, Shift
from catkindrift.routing import rendezvous_order


def divide_cap(
    shift: str, cap: int, vms: Iterable[str]
) -> tuple[CapShare, ...]:
    """Return whole shares whose sum is the cap.

    With a cap below the number of VMs some VMs get nothing: rounding each
    share up would exceed the cap.

    Args:
        shift: Name of the shift, decides who gets the remainder.
        cap: Requests per second.
        vms: Entry VMs of the source region.
    """
    order = rendezvous_order(shift, vms)
    if not order:
        return ()
    whole, rest = divmod(cap, len(order))
    larger = [CapShare(vm, whole + 1) for vm in order[:rest]]
    smaller = [CapShare(vm, whole) for vm in order[rest:] if whole]
    return (*larger, *smaller)


def retire_shares(shift: Shift, vms: frozenset[str]) -> Shift:
    """Mark the shares of VMs that are not in `vms` as retiring."""
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
    """Give the shares of VMs that have surely stopped to other VMs.

    Args:
        shift: The shift.
        released: Retiring holders whose wait is over.
        vms: Entry VMs that may hold shares.
    """
    kept = [share for share in shift.shares if share.vm not in released]
    retiring = {share.vm for share in kept if share.retiring}
    amounts = Counter(
        {share.vm: share.requests_per_second for share in kept},
    )
    takers = rendezvous_order(shift.name, vms - retiring)
    free = shift.cap_per_second - amounts.total()
    for index in range(free if takers else 0):
        amounts[takers[index % len(takers)]] += 1
    shares = tuple(
        CapShare(vm, amount, retiring=vm in retiring)
        for vm, amount in amounts.items()
    )
    return attrs.evolve(shift, shares=shares)
