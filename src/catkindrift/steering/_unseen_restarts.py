"""Restarts of upstreams that this entry VM may not have seen."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._upstream_registry import UpstreamRegistry

# An upstream that has restarted is back and has written its entry within this
# time.
_NEWS_MS = 12_000


@final
@attrs.define(eq=False, repr=False)
class UnseenRestarts:
    """Treats upstreams that may have restarted under their id as cold.

    The store tells of a restart seconds later, or much later in an outage;
    broken connections tell at once.

    Args:
        clock: Source of time.
        registry: All upstreams.
        cold_start_ms: Returns for how long a service's upstreams are cold
            after a start.
    """

    _clock: Clock
    _registry: UpstreamRegistry
    _cold_start_ms: Callable[[str], int]

    def expect(self, incarnation: str) -> None:
        """Treat what responds for an upstream as perhaps just started.

        It counts as cold until it is known to run on, or its cold time has
        passed since a new connection to it.

        Args:
            incarnation: What may have ended. Nothing changes if its start is
                unknown, since a successor then has another id.
        """
        known = self._registry.find_incarnation(incarnation)
        if known and known.upstream.born_ms:
            cold_ms = self._cold_start_ms(known.upstream.service)
            known.restart_until_ms = self._clock.now_ms() + _NEWS_MS + cold_ms

    def rule_out(self, incarnation: str) -> None:
        """Record that an incarnation has not ended."""
        known = self._registry.find_incarnation(incarnation)
        if known:
            known.restart_until_ms = 0

    def record_connect(self, incarnation: str) -> None:
        """Record a new connection: a restart came before it, if at all."""
        known = self._registry.find_incarnation(incarnation)
        if known and known.restart_until_ms:
            cold_ms = self._cold_start_ms(known.upstream.service)
            known.restart_until_ms = min(
                known.restart_until_ms, self._clock.now_ms() + cold_ms
            )
