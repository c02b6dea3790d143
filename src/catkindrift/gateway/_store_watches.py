"""The kinds of objects that this entry VM follows."""

from collections.abc import Coroutine
from typing import Any, final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.platform import (
    CONFIGURATION_KIND,
    EVACUATION_KIND,
    UPSTREAM_KIND,
    StoreClient,
    StoreObject,
)
from catkindrift.routing import rendezvous_order
from catkindrift.settings import GatewaySettings
from catkindrift.steering import Heartbeat, Members

# The kind with the most news. One VM of a zone asks for them and tells the
# others; the other kinds change seldom, and have to be in force sooner.
_SHARED_KIND = UPSTREAM_KIND
# Ready VMs of a zone from which on one asks for all. Fewer save few calls, and
# news take a detour of up to a second when that one is in trouble.
_MIN_VMS_TO_SHARE = 6
# Entry VMs that ask at short intervals for each kind. They notice when
# watches have gone silent, and tell the others by their revisions.
_SENTINEL_COUNT = 2


@final
@attrs.define(eq=False)
class StoreWatches:
    """Follows configuration, upstreams and evacuations.

    Args:
        clock: Source of time.
        client: The store.
        settings: Waits and time limits, name of this VM.
        facts: Takes the news.
        members: Entry VMs, which share the duty of sentinels.
        health: Whether the store answers.
    """

    _clock: Clock
    _client: StoreClient
    _settings: GatewaySettings
    _state: PlatformState
    _members: Members
    health: StoreHealth
    _peer_recovered_ms: int = attrs.field(init=False, default=0)
    _watches: tuple[StoreWatch, ...] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the watches."""
        state = self._state
        kinds = (
            (
                CONFIGURATION_KIND,
                self._apply_configurations,
                state.apply_configuration,
            ),
            (UPSTREAM_KIND, state.replace_upstreams, state.apply_upstream),
            (
                EVACUATION_KIND,
                state.replace_evacuations,
                state.apply_evacuation,
            ),
        )
        self._watches = tuple(
            StoreWatch(
                self._clock,
                self._client,
                kind,
                self._settings.platform,
                self.health,
                on_list,
                on_change,
                state.missing.record_outage,
                kind != _SHARED_KIND,
            )
            for kind, on_list, on_change in kinds
        )
        self.health.add_recovery_listener(self._retry_now)

    def jobs(self) -> list[Coroutine[Any, Any, None]]:
        """Return what has to run."""
        return [watch.run() for watch in self._watches]

    def revisions(self) -> dict[str, int]:
        """Return the newest revision known of each kind."""
        return {watch.kind: watch.newest_revision for watch in self._watches}

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Compare what is known with what another VM knows."""
        if heartbeat.answer_age_ms is not None:
            self.health.record_peer_response(heartbeat.answer_age_ms)
        if self._members.last_recovery_ms > self._peer_recovered_ms:
            self._peer_recovered_ms = self._members.last_recovery_ms
            self.health.record_peer_recovery()
        for watch in self._watches:
            watch.compare_with_peer(heartbeat.revisions.get(watch.kind, 0))

    def find_shared_watch(self, kind: str) -> StoreWatch | None:
        """Return the watch whose changes other VMs may ask for."""
        for watch in self._watches:
            if watch.kind == kind == _SHARED_KIND:
                return watch
        return None

    def assign_roles(self) -> None:
        """Choose who asks the store, as all VMs that hear each other do."""
        self._choose_sentinels()
        for watch in self._watches:
            if watch.kind == _SHARED_KIND:
                self._choose_zone_watcher(watch)

    def _retry_now(self) -> None:
        for watch in self._watches:
            watch.retry_now()

    def _choose_zone_watcher(self, watch: StoreWatch) -> None:
        """Let one VM ask for the zone, if that saves much."""
        vm = self._settings.vm
        addresses = {
            each.name: each.peers
            for each in self._members.alive()
            if each.zone == vm.zone and each.is_ready
        }
        addresses[vm.name] = ''
        is_shared = len(addresses) >= _MIN_VMS_TO_SHARE
        first = rendezvous_order(_SHARED_KIND, addresses)[0]
        watch.set_zone_watcher(
            addresses[first] if is_shared else '',
            is_shared=is_shared,
        )

    def _choose_sentinels(self) -> None:
        """Take the duty of a sentinel, or lay it down."""
        own = self._settings.vm.name
        alive = [own, *(each.name for each in self._members.alive())]
        for watch in self._watches:
            chosen = rendezvous_order(watch.kind, alive)[:_SENTINEL_COUNT]
            watch.set_sentinel(is_sentinel=own in chosen)

    def _apply_configurations(self, found: tuple[StoreObject, ...]) -> None:
        for each in found:
            self._state.apply_configuration(each)
