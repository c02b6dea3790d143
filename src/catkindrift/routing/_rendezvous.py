"""Rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` by falling preference for `key`.

    Every process that knows the same members computes the same order, and
    the loss of a member moves only what it held.

    Args:
        key: What is assigned.
        members: Names to choose from.
    """
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{key}/{member}'.encode()),
            member,
        ),
        reverse=True,
    )
