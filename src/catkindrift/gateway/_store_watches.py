"""The store watches of this entry VM and their roles in its zone."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._list_source import ListSource
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._store_gossip import StoreGossip
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_silence import StoreSilence
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._supervisor import Job
from catkindrift.gateway._watch_roles import MIN_VMS_TO_SHARE, WatchRoles
from catkindrift.gateway._watch_timing import platform_settings
from catkindrift.gateway._zone_lists import ZoneLists
from catkindrift.platform import (
    CONFIGURATION_KIND,
    ENTRY_VM_KIND,
    EVACUATION_KIND,
    UPSTREAM_KIND,
    StoreClient,
    StoreObject,
)
from catkindrift.settings import (
    GatewayBoundSettings,
    GatewaySettings,
)
from catkindrift.steering import Members

_MILLISECONDS_PER_SECOND = 1000
# VMs that watch the records of entry VMs.
_RECORD_WATCHERS = 2


@final
@attrs.define(eq=False, repr=False)
class StoreWatches:
    """Watches configuration, upstreams and evacuations.

    Args:
        clock: Source of time.
        client: Client of the store.
        settings: Wait times, timeouts and the name of this VM.
        state: Updated with lists and changes.
        members: Entry VMs among which roles are assigned.
        health: Reachability of the store.
        silence: Silence of connections to the store.
    """

    _clock: Clock
    _client: StoreClient
    _settings: GatewaySettings
    _state: PlatformState
    _members: Members
    health: StoreHealth
    silence: StoreSilence
    gossip: StoreGossip = attrs.field(init=False)
    _watches: tuple[StoreWatch, ...] = attrs.field(init=False)
    _zone_lists: ZoneLists = attrs.field(init=False)
    _roles: WatchRoles = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda watches: WatchRoles(watches._members, watches._settings.vm),
            takes_self=True,
        ),
    )

    def __attrs_post_init__(self) -> None:
        """Create the watches."""
        state = self._state
        history_s = self._settings.platform.history_s
        self._zone_lists = ZoneLists(
            self._members,
            self._settings.vm,
            MIN_VMS_TO_SHARE,
            round(history_s * _MILLISECONDS_PER_SECOND),
            self._is_discovered,
        )
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
            self._create(
                kind, on_list, on_change, relists=kind != UPSTREAM_KIND
            )
            for kind, on_list, on_change in kinds
        )
        self.health.add_recovery_listener(self._retry_now)
        self.gossip = StoreGossip(
            self._all_watches, self._members, self.health, self.silence
        )
        self.silence.on_notice = self.gossip.restart_soon

    def check(self) -> None:
        """Repeat stalled watches; called several times a second."""
        for watch in self._watches:
            watch.check()

    def apply(self, bounds: GatewayBoundSettings) -> None:
        """Apply reloaded bounds."""
        for watch in self._watches:
            watch.poll.source.store.settings = platform_settings(
                watch.kind, self._settings.platform, bounds
            )

    def watch_entry_vms(
        self,
        on_list: Callable[[tuple[StoreObject, ...]], None],
        on_change: Callable[[StoreObject], None],
    ) -> None:
        """Watch the records of entry VMs too, from the start of the jobs.

        Args:
            on_list: Called with each complete list.
            on_change: Called with each change.
        """
        watch = self._create(ENTRY_VM_KIND, on_list, on_change, relists=False)
        self._watches = (*self._watches, watch)

    def jobs(self) -> dict[str, Job]:
        """Return the jobs of all watches, by the kind that they watch."""
        return {f'watch {watch.kind}': watch.run for watch in self._watches}

    def find_shared_watch(self, kind: str) -> StoreWatch | None:
        """Return the watch of a kind that the zone shares, None for others.

        Two VMs of all zones watch the records of entry VMs; news of them
        passes in heartbeats.
        """
        for watch in self._shared_watches():
            if watch.kind == kind:
                return watch
        return None

    def assign_roles(self) -> None:
        """Assign the sentinel, its standbys and zone watchers of each kind.

        The records of entry VMs are watched by two VMs of those that hear
        each other, which pass the news on in heartbeats.
        """
        for watch in self._watches:
            if watch.kind == ENTRY_VM_KIND:
                watch.is_active = (
                    self._roles.rank(watch.kind) < _RECORD_WATCHERS
                )
            else:
                watch.poll.assign(self._roles.role(watch.kind))

    def _is_discovered(self) -> bool:
        """Return whether heartbeats go to all registered VMs."""
        return all(
            watch.listed.is_listed
            for watch in self._watches
            if watch.kind == ENTRY_VM_KIND
        )

    def _all_watches(self) -> tuple[StoreWatch, ...]:
        return self._watches

    def _shared_watches(self) -> tuple[StoreWatch, ...]:
        return tuple(
            watch for watch in self._watches if watch.kind != ENTRY_VM_KIND
        )

    def _retry_now(self) -> None:
        for watch in self._watches:
            watch.retry_now()

    def _create(
        self,
        kind: str,
        on_list: Callable[[tuple[StoreObject, ...]], None],
        on_change: Callable[[StoreObject], None],
        *,
        relists: bool,
    ) -> StoreWatch:
        return StoreWatch(
            self._clock,
            self._client,
            kind,
            platform_settings(
                kind, self._settings.platform, self._settings.bounds
            ),
            self.health,
            on_list,
            on_change,
            self._state.missing.record_outage,
            relists,
            ListSource(
                None if kind == ENTRY_VM_KIND else self._zone_lists,
                self.assign_roles,
            ),
            self.silence,
        )

    def _apply_configurations(self, found: tuple[StoreObject, ...]) -> None:
        for each in found:
            self._state.apply_configuration(each)
