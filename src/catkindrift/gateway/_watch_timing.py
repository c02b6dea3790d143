"""How long the sentinel of a kind waits for the store."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

import attrs

from catkindrift.platform import (
    CONFIGURATION_KIND,
    EVACUATION_KIND,
    UPSTREAM_KIND,
)
from catkindrift.settings import (
    GatewayBoundSettings,
    GatewayPlatformSettings,
)

_MILLISECONDS_PER_SECOND = 1000
# Part of a bound that follows the wait of a sentinel: a response that may be
# late (0.3 s), a call on a new connection (0.3 s), the notice to all VMs
# (0.5 s), and their own calls, first those of the zone watchers (0.6 s).
_NOTICE_MS = 1700
_SHORTEST_WAIT_MS = 300
# Time in which heartbeats tell all VMs what one of them knows.
_GOSSIP_MS = 1200
# A response crosses two regions and waits for a busy process.
_SHORTEST_GRACE_MS = 300
# The next response of a slow store may be so many times later than the last.
_LATENESS_FACTOR = 3
# One quick response doesn't show that a store is no longer slow.
_GRACE_DECAY = 0.7
_BOUND_NAMES: Final[Mapping[str, str]] = MappingProxyType(
    {
        CONFIGURATION_KIND: 'config_apply_s',
        UPSTREAM_KIND: 'drain_s',
        EVACUATION_KIND: 'evacuation_s',
    }
)


def sentinel_wait_ms(
    kind: str, bounds: GatewayBoundSettings, longest_ms: int
) -> int:
    """Return how long the sentinel of a kind waits for a change.

    All connections to the store may fall silent just after its watch began.
    Then all VMs have to know of a change within the bound that applies to the
    kind, or within the time after which VMs keep the bounds again.

    Args:
        kind: Kind of the objects.
        bounds: Bounds of the deployment.
        longest_ms: Longest wait whatever the bounds.
    """
    name = _BOUND_NAMES.get(kind)
    if name is None:
        return longest_ms
    within_s: float = max(bounds.stable_window_s, getattr(bounds, name))
    within_ms = round(within_s * _MILLISECONDS_PER_SECOND)
    return min(longest_ms, max(_SHORTEST_WAIT_MS, within_ms - _NOTICE_MS))


def platform_settings(
    kind: str, platform: GatewayPlatformSettings, bounds: GatewayBoundSettings
) -> GatewayPlatformSettings:
    """Return the settings of a watch, with the wait that its bounds require.

    Args:
        kind: Kind of the objects.
        platform: Settings of all watches.
        bounds: Bounds of the deployment.
    """
    wait_ms = sentinel_wait_ms(kind, bounds, platform.sentinel_wait_ms)
    return attrs.evolve(platform, sentinel_wait_ms=wait_ms)


def unconfirmed_limit_ms(wait_ms: int) -> int:
    """Return for how long no VM may tell that the store confirms a kind.

    Args:
        wait_ms: How long the sentinel of the kind waits.
    """
    return wait_ms + _GOSSIP_MS


@final
@attrs.define(eq=False, repr=False)
class ResponseGrace:
    """Time after the end of a short wait in which the response is due.

    It follows the store's last response, so that a slow store isn't taken for
    a silent connection.

    Args:
        longest_ms: Timeout of a call.
    """

    _longest_ms: int
    _grace_ms: int = attrs.field(init=False, default=_SHORTEST_GRACE_MS)

    @property
    def grace_ms(self) -> int:
        """Milliseconds that a response may be late."""
        return self._grace_ms

    def record(self, late_ms: int) -> None:
        """Record by how much a response was late."""
        wanted_ms = max(
            _SHORTEST_GRACE_MS,
            late_ms * _LATENESS_FACTOR,
            round(self._grace_ms * _GRACE_DECAY),
        )
        self._grace_ms = min(wanted_ms, self._longest_ms)
