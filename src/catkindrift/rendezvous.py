"""Rendezvous hashing."""

import math
from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

# Length of the digest.
_DIGEST_BITS: Final = 64
# Largest floating-point number below 1.
_MAX_UNIFORM: Final = math.nextafter(1, 0)


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


def weighted_choice(key: str, weights: Mapping[str, float]) -> str:
    """Return the member that a key belongs to, in proportion to weights.

    A changed weight moves only as many keys as the change requires.

    Args:
        key: Key to assign to a member.
        weights: Weight by name of the member; not all 0.
    """
    return max(
        weights,
        key=lambda member: (_weighted_score(key, member, weights), member),
    )


def _weighted_score(
    key: str, member: str, weights: Mapping[str, float]
) -> float:
    digest = xxhash.xxh3_64_intdigest(f'{key}/{member}'.encode())
    # Halved steps keep the logarithm's argument above 0 and below 1.
    uniform = (digest + 0.5) / (1 << _DIGEST_BITS)
    return weights[member] / -math.log(min(uniform, _MAX_UNIFORM))
