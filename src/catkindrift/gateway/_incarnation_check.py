"""Checks whether an incarnation of an upstream has ended."""

import asyncio
from collections.abc import Callable, Sequence
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._upstream_check import Liveness, UpstreamCheck
from catkindrift.steering import (
    UnseenRestarts,
    Upstream,
    UpstreamReachability,
)

# Pauses before each further health check of an unreachable upstream.
_CHECK_PAUSES_SECONDS = (0.1, 0.4, 1.5)
# By the pause of this index its neighbours have to show whether it has ended.
_NEIGHBOURS_ASKED_BEFORE = 2
_SILENCES = frozenset((Liveness.UNKNOWN, Liveness.SILENT))
# An upstream that has restarted writes its entry within a heartbeat, and the
# change arrives within about a second.
_RESTART_NOTICE_MS = 3000
_RESTART_POLL_SECONDS = 0.1
# In a cut, connects to other upstreams fail within this time too.
_OTHER_FAILURES_MS = 100
# By then a cut shows, since other entry VMs tell what they reach.
_CUT_NOTICE_MS = 1500
_CUT_POLL_SECONDS = 0.02


@final
@attrs.define(eq=False, repr=False)
class IncarnationCheck:
    """Combines health checks with the starts that upstreams' entries state.

    If an upstream responds that may have restarted under its id, its entry
    has some seconds to state a newer start. An upstream that gives no sign of
    life has ended if others of its zone respond; if none does, the zone may
    merely be out of reach.

    Args:
        clock: Source of time.
        check: Sends health checks to upstreams.
        find_current: Returns what is known now of an upstream, by its id.
        restarts: Told that an upstream may have restarted, or has not.
        reachability: Whether this VM reaches other upstreams.
        neighbours: Returns some other upstreams of the same zone.
    """

    _clock: Clock
    _check: UpstreamCheck
    _find_current: Callable[[str], Upstream | None]
    _restarts: UnseenRestarts
    _reachability: UpstreamReachability
    _neighbours: Callable[[Upstream], Sequence[Upstream]]

    async def run(self, upstream: Upstream) -> Liveness:
        """Return whether the incarnation has ended, as far as can be known."""
        self._restarts.expect(upstream.incarnation)
        began_ms = self._clock.now_ms()
        liveness = await self._probe(upstream)
        if liveness is Liveness.ALIVE:
            self._restarts.rule_out(upstream.incarnation)
        if liveness is Liveness.ENDED and await self._is_cut_off(began_ms):
            return Liveness.UNKNOWN
        return liveness

    async def _is_cut_off(self, began_ms: int) -> bool:
        """Return whether refused connects come from a cut of this VM.

        Any upstream that is reached since rules that out.
        """
        wait_ms = _OTHER_FAILURES_MS
        while self._clock.now_ms() < began_ms + wait_ms:
            if self._reachability.has_reached_since(began_ms):
                return False
            if self._reachability.is_suspicious:
                wait_ms = _CUT_NOTICE_MS
            if self._reachability.is_cut_off:
                return True
            await asyncio.sleep(_CUT_POLL_SECONDS)
        return False

    async def _probe(self, upstream: Upstream) -> Liveness:
        liveness = await self._check.probe(upstream)
        for index, pause_s in enumerate(_CHECK_PAUSES_SECONDS):
            if liveness not in _SILENCES:
                break
            is_asked_now = index == _NEIGHBOURS_ASKED_BEFORE
            if is_asked_now and await self._has_live_neighbours(upstream):
                return Liveness.ENDED
            await asyncio.sleep(pause_s)
            liveness = await self._check.probe(upstream)
        if liveness is Liveness.UNPROVEN:
            return await self._wait_for_newer_start(upstream)
        return liveness

    async def _has_live_neighbours(self, upstream: Upstream) -> bool:
        found = await asyncio.gather(
            *map(self._check.probe, self._neighbours(upstream))
        )
        return any(liveness not in _SILENCES for liveness in found)

    async def _wait_for_newer_start(self, upstream: Upstream) -> Liveness:
        until_ms = self._clock.now_ms() + _RESTART_NOTICE_MS
        while self._clock.now_ms() < until_ms:
            current = self._find_current(upstream.id)
            if current and current.incarnation != upstream.incarnation:
                return Liveness.ENDED
            await asyncio.sleep(_RESTART_POLL_SECONDS)
        return Liveness.UNPROVEN
