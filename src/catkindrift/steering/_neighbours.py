"""Upstreams whose health tells a crash from a zone that is out of reach."""

from operator import attrgetter

from catkindrift.steering._upstream import Upstream
from catkindrift.steering._upstream_registry import UpstreamRegistry

_MAX_NEIGHBOURS = 3


def neighbours_of(
    registry: UpstreamRegistry, upstream: Upstream, now_ms: int
) -> list[Upstream]:
    """Return some other upstreams of the same zone, healthiest first.

    Those that have asked for a pause are left out.

    Args:
        registry: All upstreams.
        upstream: The upstream.
        now_ms: The present time.
    """
    others = [
        state
        for state in registry.states
        if state.upstream.zone == upstream.zone
        and state.upstream.id != upstream.id
        and state.paused_until_ms <= now_ms
    ]
    others.sort(key=attrgetter('failure_rate'))
    return [state.upstream for state in others[:_MAX_NEIGHBOURS]]
