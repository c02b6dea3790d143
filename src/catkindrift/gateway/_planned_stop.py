"""Planned stop of an entry VM on the users' platform."""

import asyncio
import logging
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._directory import lookup_lifetime_s
from catkindrift.gateway._parts import GatewayParts
from catkindrift.settings import GatewayBoundSettings

_LOG = logging.getLogger(__name__)
_MILLISECONDS_PER_SECOND = 1000
# Interval of checks whether all requests have a response.
_POLL_SECONDS = 0.05
# Checks in a row that were in time and found none. After a late pass of the
# event loop, requests on new connections are read by the second one.
_QUIET_POLLS = 3
# Callers may use a directory response for three times its lifetime.
_STALE_LOOKUP_FACTOR = 3
# The last of them may still be connecting then.
_CONNECT_MS = 500
# Callers close connections within a round trip of the last response; one that
# is closed before with unread bytes would be reset and could lose it.
_LINGER_MS = 250


@final
@attrs.define(eq=False, repr=False)
class PlannedStop:
    """Ends the service of callers within the grace period.

    Args:
        clock: Source of time.
        parts: Components of the entry VM, which is no longer ready.
        bounds: Grace period and lifetime of look-ups.
    """

    _clock: Clock
    _parts: GatewayParts
    _bounds: GatewayBoundSettings
    _quiet_polls: int = attrs.field(init=False, default=0)
    _polled_ms: int = attrs.field(init=False, default=0)

    async def run(self) -> None:
        """Finish the requests in progress, then close all connections."""
        _LOG.info('stopping: not ready for new callers, draining requests')
        self._begin()
        await self._wait_until_idle()
        self._record_phase('closing')
        self._parts.shutdown.finish()
        await self._close_servers()
        self._record_phase('closed')
        self._parts.log.log_dropped_lines()

    @property
    def _stale_lookup_ms(self) -> int:
        """Time for which callers may use look-ups that name this VM."""
        lifetime_s = lookup_lifetime_s(self._bounds.directory_lifetime_s)
        return round(
            lifetime_s * _STALE_LOOKUP_FACTOR * _MILLISECONDS_PER_SECOND
        )

    @property
    def _is_busy(self) -> bool:
        """Whether a request has no complete response yet."""
        return bool(
            self._parts.caller_server.busy_count
            or self._parts.handed_over.in_flight
        )

    def _begin(self) -> None:
        parts = self._parts
        parts.shutdown.begin(
            round(self._bounds.grace_s * _MILLISECONDS_PER_SECOND),
            self._stale_lookup_ms,
        )
        parts.deadlines.bring_forward(parts.shutdown.ends_ms)
        for server in (parts.caller_server, parts.peer_server):
            server.drain()
        self._record_phase('draining')

    async def _wait_until_idle(self) -> None:
        """Wait until no caller needs this VM, or until no time is left."""
        shutdown = self._parts.shutdown
        earliest_ms = self._stale_lookup_ms + _CONNECT_MS
        await self._wait_until(
            lambda: self._is_quiet() and shutdown.elapsed_ms >= earliest_ms,
            shutdown.left_ms,
        )
        # What is due at the end gets its response.
        await self._wait_until(
            lambda: not self._is_busy, shutdown.left_to_close_ms // 2
        )

    def _is_quiet(self) -> bool:
        """Return whether no request has come for some checks.

        A check that is late does not count: requests may have arrived that
        are not read yet.
        """
        late_ms = 2 * _POLL_SECONDS * _MILLISECONDS_PER_SECOND
        now_ms = self._clock.now_ms()
        is_late = now_ms - self._polled_ms > late_ms
        self._polled_ms = now_ms
        is_reset = is_late or self._is_busy
        self._quiet_polls = 0 if is_reset else self._quiet_polls + 1
        return self._quiet_polls >= _QUIET_POLLS

    async def _close_servers(self) -> None:
        """Close connections once their last responses are sent."""
        servers = [server for server, _ in self._parts.servers]
        for server in servers:
            server.close_idle()
        reserved_ms = self._parts.shutdown.left_to_close_ms // 2
        await self._wait_until(
            lambda: not self._parts.caller_server.connection_count,
            min(reserved_ms, _LINGER_MS),
        )
        for open_server in servers:
            open_server.close()
        # Lets the loop close the sockets.
        await asyncio.sleep(0)

    async def _wait_until(
        self, holds: Callable[[], bool], longest_ms: int
    ) -> None:
        until_ms = self._clock.now_ms() + longest_ms
        while not holds() and self._clock.now_ms() < until_ms:
            await asyncio.sleep(_POLL_SECONDS)

    def _record_phase(self, phase: str) -> None:
        self._parts.shutdown_log.record_phase(
            phase, self._parts.deadlines.count
        )
