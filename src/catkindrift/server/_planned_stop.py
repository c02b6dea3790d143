"""Planned stop of an entry VM."""

from typing import final

import attrs
from absl import logging

from catkindrift.clock import Clock
from catkindrift.core import (
    CoreClosed,
    ShutdownPhaseBegan,
    StopRequested,
)
from catkindrift.http1 import close_when_read, wait_until
from catkindrift.server._composition import Composition
from catkindrift.shutdown import Shutdown

# A call of the platform takes up to 2 s unless the settings say otherwise.
_LONGEST_CLAIM_MS = 2000


@final
@attrs.define(eq=False, repr=False)
class PlannedStop:
    """Ends the service of callers within the stop timeout.

    Args:
        clock: Source of time.
        parts: Components of the entry VM.
    """

    _clock: Clock
    _parts: Composition

    async def run(self) -> None:
        """Finish the requests in progress, then close callers' connections.

        Lookups no longer return this VM at once. Callers with an older lookup
        response are served until its lifetime has passed.
        """
        self._begin()
        await self._wait_until_idle()
        self._record_phase('closing')
        self._parts.post(CoreClosed())
        caller_server = self._parts.caller_server
        await close_when_read(
            self._clock,
            [caller_server],
            lambda: not caller_server.connection_count,
            self._shutdown.left_to_close_ms // 4,
        )
        self._record_phase('closed')
        await self._finish_claims()

    @property
    def _shutdown(self) -> Shutdown:
        return self._parts.core.state.shutdown

    @property
    def _is_busy(self) -> bool:
        """Whether a request has no complete response yet."""
        return bool(self._parts.caller_server.busy_count)

    def _begin(self) -> None:
        self._parts.post(StopRequested())
        self._parts.caller_server.drain()
        self._record_phase('draining')

    async def _wait_until_idle(self) -> None:
        """Wait until no caller needs this VM, or until no time is left."""
        core = self._parts.core
        await wait_until(
            self._clock,
            lambda: core.is_idle and not self._is_busy,
            self._shutdown.left_ms,
        )
        # What is due at the end gets its response.
        await wait_until(
            self._clock,
            lambda: not self._is_busy,
            self._shutdown.left_to_close_ms // 2,
        )

    async def _finish_claims(self) -> None:
        """Wait until the claims of ended requests are written."""
        runner = self._parts.effect_runner
        await wait_until(
            self._clock,
            lambda: not runner.unwritten_claims,
            min(self._shutdown.left_to_close_ms // 2, _LONGEST_CLAIM_MS),
        )
        if runner.unwritten_claims:
            logging.warning(
                'shutdown: the states of %d claims are not written; until '
                'their deadline their keys are answered as in progress',
                runner.unwritten_claims,
            )

    def _record_phase(self, phase: str) -> None:
        in_progress = self._parts.caller_server.busy_count
        self._parts.post(ShutdownPhaseBegan(phase, in_progress))
