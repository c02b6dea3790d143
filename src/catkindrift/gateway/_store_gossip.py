"""What entry VMs tell each other of the platform's store."""

import asyncio
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_silence import StoreSilence
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.platform import ENTRY_VM_KIND
from catkindrift.steering import Heartbeat, Members, StoreNews


@final
@attrs.define(eq=False, repr=False)
class StoreGossip:
    """Tells and hears revisions, their confirmation and silent connections.

    Args:
        watches: Returns the watches of this VM.
        members: Entry VMs.
        health: Reachability of the store.
        silence: Silence of connections to the store.
    """

    _watches: Callable[[], tuple[StoreWatch, ...]]
    _members: Members
    _health: StoreHealth
    _silence: StoreSilence
    _peer_recovered_ms: int = attrs.field(init=False, default=0)

    @property
    def news(self) -> StoreNews:
        """What heartbeats tell of the store, besides revisions."""
        ages_ms = {
            watch.kind: watch.listed.age_ms
            for watch in self._watches()
            if watch.kind != ENTRY_VM_KIND and watch.listed.is_listed
        }
        return StoreNews(ages_ms, self._silence.age_ms, self._silence.notice_id)

    def revisions(self) -> dict[str, int]:
        """Return the newest known revision of each kind."""
        return {watch.kind: watch.newest_revision for watch in self._watches()}

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update store health and repeat watches that lag or are silent."""
        if heartbeat.answer_age_ms is not None:
            self._health.record_peer_response(heartbeat.answer_age_ms)
        if self._members.last_recovery_ms > self._peer_recovered_ms:
            self._peer_recovered_ms = self._members.last_recovery_ms
            self._health.record_peer_recovery()
        # The age of a datagram that waited during a stall isn't known.
        self._health.detect_stall()
        news = StoreNews() if self._health.ignores_peers else heartbeat.store
        for watch in self._watches():
            watch.compare_with_peer(
                heartbeat.revisions.get(watch.kind, 0),
                news.confirmed_ages_ms.get(watch.kind),
            )
        if news.silence_age_ms is not None:
            self._silence.learn(news.silence_id, news.silence_age_ms)

    def restart_soon(self) -> None:
        """Repeat all watches on new connections.

        The one that has found a silence is about to return its response.
        """
        loop = asyncio.get_running_loop()
        for watch in self._watches():
            loop.call_soon(watch.poll.restart)
