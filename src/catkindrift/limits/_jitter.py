"""Jitter for periodic work."""

import random

_SPREAD = 0.5


def jittered(rng: random.Random, pause: float) -> float:
    """Return `pause` changed by up to half, so that VMs do not act together.

    Args:
        rng: Source of jitter.
        pause: Any unit of time.
    """
    return pause * rng.uniform(1 - _SPREAD, 1 + _SPREAD)
