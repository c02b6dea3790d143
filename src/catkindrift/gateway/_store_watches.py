"""The store watches of this entry VM and their roles in its zone."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.gateway._list_source import ListSource
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._supervisor import Job
from catkindrift.gateway._zone_lists import ZoneLists
from catkindrift.platform import (
    CONFIGURATION_KIND,
    ENTRY_VM_KIND,
    EVACUATION_KIND,
    UPSTREAM_KIND,
    StoreClient,
    StoreObject,
)
from catkindrift.rendezvous import rendezvous_order
from catkindrift.settings import GatewaySettings
from catkindrift.steering import Heartbeat, Members

_MILLISECONDS_PER_SECOND = 1000
# Ready VMs that a zone needs for zone watchers. With fewer, they save few calls
# but delay changes by up to a second when they fail.
_MIN_VMS_TO_SHARE = 6
# Entry VMs that poll the store at short intervals for each kind. They get
# changes even when long polls stall, and the revisions in their heartbeats
# reveal the stall to the others.
_SENTINEL_COUNT = 2


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
    """

    _clock: Clock
    _client: StoreClient
    _settings: GatewaySettings
    _state: PlatformState
    _members: Members
    health: StoreHealth
    _peer_recovered_ms: int = attrs.field(init=False, default=0)
    _watches: tuple[StoreWatch, ...] = attrs.field(init=False)
    _zone_lists: ZoneLists = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the watches."""
        state = self._state
        history_s = self._settings.platform.history_s
        self._zone_lists = ZoneLists(
            self._members,
            self._settings.vm,
            _MIN_VMS_TO_SHARE,
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

    def revisions(self) -> dict[str, int]:
        """Return the newest known revision of each kind."""
        return {watch.kind: watch.newest_revision for watch in self._watches}

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update store health and detect stalled watches from a heartbeat."""
        if heartbeat.answer_age_ms is not None:
            self.health.record_peer_response(heartbeat.answer_age_ms)
        if self._members.last_recovery_ms > self._peer_recovered_ms:
            self._peer_recovered_ms = self._members.last_recovery_ms
            self.health.record_peer_recovery()
        for watch in self._watches:
            watch.compare_with_peer(heartbeat.revisions.get(watch.kind, 0))

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
        """Assign sentinels and the zone watcher of each kind.

        VMs that see the same members agree without coordination.
        """
        self._choose_sentinels()
        for watch in self._shared_watches():
            self._choose_zone_watcher(watch)

    def _is_discovered(self) -> bool:
        """Return whether heartbeats go to all registered VMs."""
        return all(
            watch.listed.is_listed
            for watch in self._watches
            if watch.kind == ENTRY_VM_KIND
        )

    def _shared_watches(self) -> tuple[StoreWatch, ...]:
        return tuple(
            watch for watch in self._watches if watch.kind != ENTRY_VM_KIND
        )

    def _retry_now(self) -> None:
        for watch in self._watches:
            watch.retry_now()

    def _choose_zone_watcher(self, watch: StoreWatch) -> None:
        """Use a zone watcher if the zone has enough ready VMs.

        The VMs before this one in the order of the kind may serve it: the
        first is the zone watcher, the second its deputy.
        """
        vm = self._settings.vm
        addresses = {
            each.name: each.peers
            for each in self._members.alive()
            if each.zone == vm.zone and each.is_ready
        }
        addresses[vm.name] = ''
        is_shared = len(addresses) >= _MIN_VMS_TO_SHARE
        order = rendezvous_order(watch.kind, addresses)
        before = order[: order.index(vm.name)] if is_shared else []
        servers = [addresses[name] for name in before]
        watch.set_zone_watcher(
            next(iter(servers), ''),
            is_shared=is_shared,
            deputy=next(iter(servers[1:]), ''),
        )

    def _choose_sentinels(self) -> None:
        """Start or stop being a sentinel for each kind.

        The records of entry VMs are watched by two VMs of those that hear
        each other, which pass the news on in heartbeats.
        """
        own = self._settings.vm.name
        alive = [own, *(each.name for each in self._members.alive())]
        for watch in self._watches:
            chosen = rendezvous_order(watch.kind, alive)[:_SENTINEL_COUNT]
            if watch.kind == ENTRY_VM_KIND:
                watch.is_active = own in chosen
            else:
                watch.set_sentinel(is_sentinel=own in chosen)

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
            self._settings.platform,
            self.health,
            on_list,
            on_change,
            self._state.missing.record_outage,
            relists,
            ListSource(
                None if kind == ENTRY_VM_KIND else self._zone_lists,
                self.assign_roles,
            ),
        )

    def _apply_configurations(self, found: tuple[StoreObject, ...]) -> None:
        for each in found:
            self._state.apply_configuration(each)
