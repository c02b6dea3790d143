"""What this entry VM knows, and from which revision of the store."""

from collections.abc import Mapping
from typing import final

import attrs
from absl import logging

from catkindrift.gateway._missing_entries import MissingEntries
from catkindrift.platform import (
    StoreObject,
    decode_configuration,
    decode_upstream,
)
from catkindrift.steering import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    ServiceRules,
    Upstream,
    UpstreamRegistry,
    WeightedRotation,
)


@final
@attrs.define(eq=False)
class PlatformState:
    """Configuration, upstreams and evacuations; none goes back in age.

    Args:
        registry: Upstreams.
        regions: Region of each availability zone.
        missing: Entries that the store no longer shows.
    """

    registry: UpstreamRegistry
    regions: Mapping[str, str]
    missing: MissingEntries
    configuration: RoutingConfiguration | None = attrs.field(
        init=False,
        default=None,
    )
    has_upstreams: bool = attrs.field(init=False, default=False)
    _rotations: dict[str, WeightedRotation] = attrs.field(
        init=False,
        factory=dict,
    )
    _evacuated: set[str] = attrs.field(init=False, factory=set)

    @property
    def is_complete(self) -> bool:
        """Return whether enough is known to serve callers."""
        return self.configuration is not None and self.has_upstreams

    @property
    def rules(self) -> Mapping[str, ServiceRules]:
        """Return the rules of each service."""
        return self.configuration.services if self.configuration else {}

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def rotation(self, route: Route) -> WeightedRotation:
        """Return the rotation over the services of a route."""
        known = self._rotations.get(route.name)
        if known is None or known.targets != route.targets:
            known = WeightedRotation(route.targets)
            self._rotations[route.name] = known
        return known

    def apply_configuration(self, stored: StoreObject) -> None:
        """Put a newer configuration in force."""
        if stored.is_deleted:
            logging.warning('the configuration was deleted; keeping the last')
            return
        newer = decode_configuration(stored)
        known = self.configuration
        if newer is None or (known and newer.version <= known.version):
            return
        self.configuration = newer
        routes = {route.name for route in newer.routes}
        for gone in self._rotations.keys() - routes:
            self._rotations.pop(gone)
        logging.info(
            'configuration %08x is in force, revision %d',
            newer.version,
            stored.revision,
        )

    def apply_upstream(self, stored: StoreObject) -> None:
        """Learn an upstream's entry or its removal."""
        if stored.is_deleted:
            self._handle_missing(stored.name)
            return
        self.missing.mark_present(stored.name)
        upstream = decode_upstream(stored, self.regions)
        if upstream is None:
            return
        if upstream.is_draining:
            self._log_draining_start(upstream)
        rules = self.rules.get(upstream.service)
        self.registry.put(upstream, rules.cold_start_ms if rules else 0)

    def replace_upstreams(self, stored: tuple[StoreObject, ...]) -> None:
        """Learn the whole list of upstreams."""
        for each in stored:
            self.apply_upstream(each)
        listed = {entry.name for entry in stored}
        for gone in self.registry.ids - listed:
            self._handle_missing(gone)
        self.registry.mark_loaded()
        self.has_upstreams = True

    def apply_evacuation(self, stored: StoreObject) -> None:
        """Learn that a zone is evacuated, or taken back."""
        if stored.is_deleted:
            self._evacuated.discard(stored.name)
        else:
            self._evacuated.add(stored.name)
        self._apply_evacuations()

    def replace_evacuations(self, stored: tuple[StoreObject, ...]) -> None:
        """Learn all evacuations."""
        self._evacuated = {each.name for each in stored}
        self._apply_evacuations()

    def remove_expired(self) -> None:
        """Forget upstreams whose entries have not come back."""
        for name in self.missing.pop_expired():
            self._remove(name)

    def _handle_missing(self, name: str) -> None:
        if self.missing.should_remove(name, len(self.registry.ids)):
            self._remove(name)

    def _remove(self, name: str) -> None:
        known = self.registry.find(name)
        if known is None:
            return
        logging.info(
            'upstream %s has left, last revision %d',
            name,
            known.upstream.revision,
        )
        self.registry.remove(name)

    def _log_draining_start(self, upstream: Upstream) -> None:
        known = self.registry.find(upstream.id)
        if known is None or not known.upstream.is_draining:
            logging.info(
                'upstream %s is draining, revision %d',
                upstream.id,
                upstream.revision,
            )

    def _apply_evacuations(self) -> None:
        longest_ms = max(
            (rules.cold_start_ms for rules in self.rules.values()),
            default=0,
        )
        before = self.registry.evacuated_zones
        self.registry.update_evacuated_zones(self._evacuated, longest_ms)
        if before != self.registry.evacuated_zones:
            logging.info('evacuated zones: %s', sorted(self._evacuated))
