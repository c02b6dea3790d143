"""Imbalance of load over the upstreams of a service."""

from collections.abc import Iterable

from catkindrift.steering._upstream_state import UpstreamState


def load_imbalance(
    states: Iterable[UpstreamState], now_ms: int
) -> dict[str, float]:
    """Return the largest load over the mean, by name of the service.

    Loads are estimates per slot. Services without load are left out.

    Args:
        states: All upstreams.
        now_ms: Present time.
    """
    fills: dict[str, list[float]] = {}
    for state in states:
        fill = state.load(now_ms) / state.upstream.slots
        fills.setdefault(state.upstream.service, []).append(fill)
    return {
        service: max(each) * len(each) / sum(each)
        for service, each in fills.items()
        if sum(each)
    }
