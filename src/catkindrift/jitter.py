"""Random jitter for periodic work and retries."""

import random

_DEFAULT_SPREAD = 0.5


def jittered(
    rng: random.Random,
    pause: float,
    spread: float = _DEFAULT_SPREAD,
) -> float:
    """Return `pause` with random jitter, so that VMs do not act in lockstep.

    Args:
        rng: Source of randomness.
        pause: Duration in any unit; the result has the same unit.
        spread: Largest deviation in either direction, as a fraction of
            `pause`.
    """
    return pause * rng.uniform(1 - spread, 1 + spread)


def jittered_up(rng: random.Random, pause: float) -> float:
    """Return `pause` with random jitter that never shortens it.

    Args:
        rng: Source of randomness.
        pause: Duration in any unit; the result has the same unit.
    """
    return pause * rng.uniform(1, 1 + 2 * _DEFAULT_SPREAD)
