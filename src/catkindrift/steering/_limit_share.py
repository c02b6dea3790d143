"""Share of one entry VM in the limit of an upstream."""

from typing import final

import attrs

_MILLISECONDS_PER_SECOND = 1000
# Any span of this length stays within the limit.
WINDOW_MS = 4000
# A request may arrive later after its placement than the next one, since
# connects and network delays differ.
_JITTER_MS = 300
# Interval between requests to an upstream that takes next to none. They show
# whether it still names its limit.
_MAX_WINDOW_MS = 10_000
# Interval, over all entry VMs, between requests of those without a share.
_PROBE_INTERVAL_MS = 8000


@final
@attrs.frozen
class LimitShare:
    """Pace at which one entry VM may send to a limited upstream.

    The whole requests of a window are dealt to the entry VMs in an order that
    all of them compute alike, so that the sum holds also among VMs that do
    not hear each other. A VM that gets none sends rare probes, so that it
    learns of the end of the limit.

    Args:
        interval_ms: Time from one request to the next.
        is_probe: Whether the VM has no share of the window.
    """

    interval_ms: float
    is_probe: bool

    @classmethod
    def of(cls, per_second: float, rank: int, senders: int) -> 'LimitShare':
        """Return the share of an entry VM.

        Args:
            per_second: Limit over all entry VMs.
            rank: Position of the VM in the order for the upstream, from 0.
            senders: Number of entry VMs that may be alive.
        """
        window_ms, requests = _window(per_second)
        for_each, rest = divmod(requests, senders)
        own = for_each + (rank < rest)
        if own:
            return cls(window_ms / own, is_probe=False)
        return cls(_PROBE_INTERVAL_MS * senders, is_probe=True)


def mean_interval_ms(per_second: float) -> float:
    """Return the time between requests over all entry VMs."""
    window_ms, requests = _window(per_second)
    return window_ms / requests


def _window(per_second: float) -> tuple[float, int]:
    """Return the length of a window and the whole requests in it."""
    requests = int(per_second * WINDOW_MS / _MILLISECONDS_PER_SECOND)
    if requests:
        return WINDOW_MS + _JITTER_MS, requests
    longest_s = _MAX_WINDOW_MS / _MILLISECONDS_PER_SECOND
    window_s = min(longest_s, 1 / per_second) if per_second else longest_s
    return window_s * _MILLISECONDS_PER_SECOND + _JITTER_MS, 1
