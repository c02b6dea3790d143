"""Long polls of the store for changes of one kind."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.errors import PlatformSilentError, PlatformUnavailableError
from catkindrift.gateway._store_silence import StoreSilence
from catkindrift.gateway._watch_timing import ResponseGrace
from catkindrift.platform import StoreClient, StorePage
from catkindrift.settings import GatewayPlatformSettings

_MILLISECONDS_PER_SECOND = 1000
# A sentinel's shortest wait is its regular wait divided by this.
_MIN_WAIT_DIVISOR = 3
# A standby polls as a sentinel for this long, then looks again whether the
# sentinel does.
_STANDBY_MS = 5000
# The store responds to such a watch at once.
_NO_WAIT_MS = 1


@final
@attrs.define(eq=False, repr=False)
class StorePoller:
    """Polls the store, and finds connections to it that are silent.

    A sentinel waits for a short time only. If its response is late, it asks
    again on a new connection.

    Args:
        clock: Source of time.
        client: Client of the store.
        kind: Kind of the objects.
        settings: Wait times and timeouts.
        silence: Told when connections to the store are silent.
        is_sentinel: Whether this VM is the sentinel of the kind.
    """

    _clock: Clock
    _client: StoreClient
    _kind: str
    settings: GatewayPlatformSettings
    _silence: StoreSilence
    is_sentinel: bool = attrs.field(init=False, default=False)
    _last_response_ms: int | None = attrs.field(init=False, default=None)
    _asks_at_once: bool = attrs.field(init=False, default=False)
    _is_failing: bool = attrs.field(init=False, default=False)
    _standby_until_ms: int = attrs.field(init=False, default=0)
    _grace: ResponseGrace = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda poller: ResponseGrace(poller.settings.call_timeout_ms),
            takes_self=True,
        ),
    )

    @property
    def waits_briefly(self) -> bool:
        """Whether this VM polls as a sentinel, or in place of one."""
        return self.is_sentinel or self._clock.now_ms() < self._standby_until_ms

    def stand_in(self) -> None:
        """Poll in place of the sentinel for a while."""
        self._standby_until_ms = self._clock.now_ms() + _STANDBY_MS

    def close_idle(self) -> None:
        """Close idle connections, so that the next poll opens a new one."""
        self._client.close_idle()

    def ask_at_once(self) -> None:
        """Let the store respond to the next poll at once."""
        self._asks_at_once = True

    async def poll(
        self, revision: int, on_chunk: Callable[[], None]
    ) -> StorePage:
        """Long-poll for changes after `revision`.

        Args:
            revision: Newest revision of this VM.
            on_chunk: Called with each chunk of the response that arrives.

        Raises:
            AnswerTooLargeError: The changes exceed the size limit.
            HistoryGoneError: The store has dropped that history.
            PlatformUnavailableError: The store gave no usable response.
        """
        try:
            page = await self._poll_or_ask_again(revision, on_chunk)
        except PlatformUnavailableError:
            self._is_failing = True
            raise
        self._is_failing = False
        self._last_response_ms = self._clock.now_ms()
        return page

    async def _poll_or_ask_again(
        self, revision: int, on_chunk: Callable[[], None]
    ) -> StorePage:
        # An outage is told apart by the whole timeout, and without a second
        # call.
        is_brief = self.waits_briefly and not self._is_failing
        wait_ms = self._wait_ms()
        grace_ms = self.settings.call_timeout_ms
        if is_brief:
            grace_ms = self._grace.grace_ms
        began_ms = self._clock.now_ms()
        try:
            page = await self._watch(revision, wait_ms, grace_ms, on_chunk)
        except PlatformSilentError:
            if not is_brief:
                raise
            waited_ms = self._clock.now_ms() - began_ms
            return await self._ask_again(revision, waited_ms, on_chunk)
        if not page.objects:
            self._grace.record(self._clock.now_ms() - began_ms - wait_ms)
        return page

    async def _ask_again(
        self, revision: int, waited_ms: int, on_chunk: Callable[[], None]
    ) -> StorePage:
        """Ask on a new connection; the client has dropped the others."""
        asked_ms = self._clock.now_ms()
        timeout_ms = self.settings.call_timeout_ms
        page = await self._watch(revision, _NO_WAIT_MS, timeout_ms, on_chunk)
        took_ms = self._clock.now_ms() - asked_ms
        # A store that responds late again is slow, not silent.
        if took_ms < self._grace.grace_ms:
            self._silence.record_found(self._kind, waited_ms)
        self._grace.record(took_ms)
        return page

    async def _watch(
        self,
        revision: int,
        wait_ms: int,
        grace_ms: int,
        on_chunk: Callable[[], None],
    ) -> StorePage:
        return await self._client.watch(
            self._kind,
            revision,
            wait_ms,
            (wait_ms + grace_ms) / _MILLISECONDS_PER_SECOND,
            on_chunk,
        )

    def _wait_ms(self) -> int:
        if self._asks_at_once:
            self._asks_at_once = False
            return _NO_WAIT_MS
        if self.waits_briefly:
            return self._sentinel_wait_ms()
        return self.settings.longest_wait_ms

    def _sentinel_wait_ms(self) -> int:
        """Return a wait that avoids long gaps between store responses.

        The time since the last response is subtracted from the regular wait.
        """
        longest_ms = self.settings.sentinel_wait_ms
        if self._last_response_ms is None:
            return longest_ms
        idle_ms = self._clock.now_ms() - self._last_response_ms
        return max(longest_ms - idle_ms, longest_ms // _MIN_WAIT_DIVISOR)
