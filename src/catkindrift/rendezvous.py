"""Rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` in descending order of preference for `key`.

    Every process that knows the same members computes the same order, and
    the loss of a member reassigns only the keys that it held.

    Args:
        key: Key to assign to a member.
        members: Names of the members to rank.
    """
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{key}/{member}'.encode()),
            member,
        ),
        reverse=True,
    )
