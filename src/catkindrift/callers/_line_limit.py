"""Limit on the log lines that a kind of request may write."""

from catkindrift.clock import Clock
from catkindrift.limits import TokenBucket

# Callers may cause lines in large numbers. All requests are counted; lines
# beyond this rate would cost more than the requests.
_LINES_PER_SECOND = 20
_BURST_LINES = 60


def line_limit(clock: Clock) -> TokenBucket:
    """Return a limit on lines that callers cause.

    Args:
        clock: Source of time.
    """
    return TokenBucket(clock, _LINES_PER_SECOND, _BURST_LINES)
