"""The long poll of a watch, and when it is repeated."""

import asyncio
import logging
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._coalescing_delay import CoalescingDelay
from catkindrift.gateway._object_list import ObjectList
from catkindrift.gateway._stalled_watch_detector import StalledWatchDetector
from catkindrift.gateway._watch_role import WatchRole
from catkindrift.gateway._watch_source import WatchSource
from catkindrift.gateway._watch_timing import unconfirmed_limit_ms
from catkindrift.platform import StorePage

_LOG = logging.getLogger(__name__)
# Standbys act one after the other, so that as a rule only the first does.
_STANDBY_STEP_MS = 100


@final
@attrs.define(eq=False, repr=False)
class PendingPoll:
    """Repeats a long poll that lags behind peers, or that has to serve all.

    Args:
        clock: Source of time.
        kind: Kind of the objects.
        source: The store, or the VM that is polled.
        coalescing: Told when a request begins and a chunk arrives.
        listed: What this VM knows, and since when the store confirms it.
    """

    _clock: Clock
    _kind: str
    source: WatchSource
    _coalescing: CoalescingDelay
    _listed: ObjectList
    _stall_detector: StalledWatchDetector = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda poll: StalledWatchDetector(poll._clock), takes_self=True
        ),
    )
    _role: WatchRole = attrs.field(init=False, factory=WatchRole)
    _task: asyncio.Task[StorePage] | None = attrs.field(
        init=False, default=None
    )

    async def run(self, revision: int) -> StorePage | None:
        """Return the changes after a revision, None if the poll is repeated.

        Args:
            revision: Newest revision of this VM.
        """
        self._coalescing.record_request(is_long_poll=True)
        self._task = asyncio.get_running_loop().create_task(
            self.source.poll(revision, self._record_chunk),
        )
        return await result_unless_cancelled(self._task)

    def cancel(self) -> None:
        """End the poll, if one is pending; the watch begins another."""
        if self._task:
            self._task.cancel()

    def restart(self) -> None:
        """Poll on a new connection from now on.

        A response that is arriving is not cut off.
        """
        if not self._stall_detector.is_receiving:
            self._renew()

    def assign(self, role: WatchRole) -> None:
        """Choose whom to poll, and for how long."""
        source = self.source
        self._role = role
        self._coalescing.is_shared = role.is_shared
        becomes_sentinel = role.is_sentinel and not source.is_sentinel
        source.store.is_sentinel = role.is_sentinel
        is_changed = source.set_zone_watcher(role.zone_watcher, role.deputy)
        # A long poll of the store would bring the next change to this VM too.
        if becomes_sentinel or is_changed:
            self.cancel()

    def take_over(self) -> None:
        """Poll the store in place of the zone watcher for a while."""
        if not self.source.uses_zone_watcher or not self._task:
            return
        _LOG.info('watch of %s takes over from the zone watcher', self._kind)
        self.source.bypass_zone_watcher()
        self._task.cancel()

    def record_response(self) -> None:
        """Record a complete response of the store."""
        self._stall_detector.record_response()

    def repeat_if_stalled(self, revision: int, peer_revision: int = 0) -> bool:
        """Repeat the poll if it has lagged behind peers for too long.

        Args:
            revision: Newest revision of this VM.
            peer_revision: Newest revision of a peer, if one has told it.

        Returns:
            Whether a poll of the store is repeated.
        """
        if self._task is None or self._task.done():
            self._stall_detector.clear_lag()
            return False
        is_of_store = not self.source.uses_zone_watcher
        if not self._stall_detector.is_stalled(
            peer_revision, revision, uses_zone_watcher=not is_of_store
        ):
            return False
        _LOG.info(
            'watch of %s stalled; restarting it: revision %d, peers have %d, '
            'from %s, pending for %d ms',
            self._kind,
            revision,
            self._stall_detector.peer_revision,
            self.source.name,
            self.source.waited_ms,
        )
        if not is_of_store:
            self.source.bypass_zone_watcher()
        self._renew()
        return is_of_store

    def stand_in_if_due(self) -> None:
        """Poll as a sentinel if no VM tells that the store confirms a kind."""
        rank = self._role.standby_rank
        poller = self.source.store
        if rank is None or poller.waits_briefly or not self._listed.is_listed:
            return
        age_ms = self._listed.age_ms
        limit_ms = unconfirmed_limit_ms(poller.settings.sentinel_wait_ms)
        if age_ms <= limit_ms + rank * _STANDBY_STEP_MS:
            return
        _LOG.info(
            'the store was last known to confirm %s %d ms ago; polling it as '
            'a sentinel',
            self._kind,
            age_ms,
        )
        poller.stand_in()
        self.restart()

    def _renew(self) -> None:
        self.source.renew_connections()
        self.cancel()

    def _record_chunk(self) -> None:
        """Record that a response is arriving, so the watch isn't stalled."""
        self._stall_detector.record_chunk()
        self._coalescing.record_chunk()


async def result_unless_cancelled(
    call: asyncio.Task[StorePage],
) -> StorePage | None:
    """Wait for a call and return its result, or None if it was cancelled."""
    await asyncio.wait({call})
    return None if call.cancelled() else call.result()
