"""Jitter for periodic work."""

import random

_SPREAD = 0.5


def jittered(
    rng: random.Random,
    pause: float,
    spread: float = _SPREAD,
) -> float:
    """Return `pause` changed by up to a part, so that VMs do not act together.

    Args:
        rng: Source of jitter.
        pause: Any unit of time.
        spread: Largest change, as a part of the pause.
    """
    return pause * rng.uniform(1 - spread, 1 + spread)
