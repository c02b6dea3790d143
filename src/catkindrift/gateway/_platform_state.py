"""Configuration, upstreams and evacuations as read from the store."""

import logging
from collections.abc import Mapping
from typing import final

import attrs

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

_LOG = logging.getLogger(__name__)


@final
@attrs.define(eq=False, repr=False)
class PlatformState:
    """Holds the newest state of the platform that this VM has read.

    An older configuration or upstream never replaces a newer one.

    Args:
        registry: Upstreams.
        regions: Region of each availability zone.
        missing: Entries of upstreams that the store no longer lists.
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
        """Whether the configuration and the upstreams have been read."""
        return self.configuration is not None and self.has_upstreams

    @property
    def rules(self) -> Mapping[str, ServiceRules]:
        """Rules by service name; empty before the first configuration."""
        return self.configuration.services if self.configuration else {}

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers; the defaults before the first configuration."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def rotation(self, route: Route) -> WeightedRotation:
        """Return the rotation over a route's targets.

        The rotation is kept between calls until the targets change.
        """
        known = self._rotations.get(route.name)
        if known is None or known.targets != route.targets:
            known = WeightedRotation(route.targets)
            self._rotations[route.name] = known
        return known

    def apply_configuration(self, stored: StoreObject) -> None:
        """Activate a configuration unless its version is old or malformed."""
        if stored.is_deleted:
            _LOG.warning(
                'configuration deleted from the store; keeping the last one',
            )
            return
        newer = decode_configuration(stored)
        known = self.configuration
        if newer is None or (known and newer.version <= known.version):
            return
        self.configuration = newer
        routes = {route.name for route in newer.routes}
        for gone in self._rotations.keys() - routes:
            self._rotations.pop(gone)
        _LOG.info(
            'activated configuration %08x at revision %d',
            newer.version,
            stored.revision,
        )

    def apply_upstream(self, stored: StoreObject) -> None:
        """Apply the creation, update or deletion of an upstream entry."""
        if stored.is_deleted:
            self._handle_missing(stored.name)
            return
        self.missing.mark_present(stored.name)
        known = self.registry.find(stored.name)
        upstream = decode_upstream(stored, self.regions)
        if upstream is None:
            if known:
                _log_suspension(known.upstream, stored)
                self.registry.put(known.upstream.suspend(stored.revision), 0)
            return
        if known:
            _log_restart(known.upstream, upstream)
        _log_draining_start(known.upstream if known else None, upstream)
        rules = self.rules.get(upstream.service)
        self.registry.put(upstream, rules.cold_start_ms if rules else 0)
        if known is None and self.has_upstreams:
            _LOG.info(
                'upstream %s is new, revision %d; cold by its entry: %d ms',
                upstream.incarnation,
                upstream.revision,
                upstream.cold_remaining_ms,
            )

    def replace_upstreams(self, stored: tuple[StoreObject, ...]) -> None:
        """Replace the known upstreams by a complete list from the store."""
        for each in stored:
            self.apply_upstream(each)
        listed = {entry.name for entry in stored}
        for gone in self.registry.ids - listed:
            self._handle_missing(gone)
        self.registry.mark_loaded()
        self.has_upstreams = True

    def apply_evacuation(self, stored: StoreObject) -> None:
        """Apply the start or the end of a zone's evacuation."""
        if stored.is_deleted:
            self._evacuated.discard(stored.name)
        else:
            self._evacuated.add(stored.name)
        self._apply_evacuations()

    def replace_evacuations(self, stored: tuple[StoreObject, ...]) -> None:
        """Replace the evacuations by a complete list from the store."""
        self._evacuated = {each.name for each in stored}
        self._apply_evacuations()

    def remove_expired(self) -> None:
        """Remove upstreams whose missing entries did not reappear in time."""
        for name in self.missing.pop_expired():
            self._remove(name)

    def _handle_missing(self, name: str) -> None:
        if self.missing.should_remove(name, len(self.registry.ids)):
            self._remove(name)

    def _remove(self, name: str) -> None:
        known = self.registry.find(name)
        if known is None:
            return
        _LOG.info(
            'removed upstream %s, last revision %d',
            name,
            known.upstream.revision,
        )
        self.registry.remove(name)

    def _apply_evacuations(self) -> None:
        longest_ms = max(
            (rules.cold_start_ms for rules in self.rules.values()),
            default=0,
        )
        before = self.registry.evacuated_zones
        self.registry.update_evacuated_zones(self._evacuated, longest_ms)
        if before != self.registry.evacuated_zones:
            _LOG.info('evacuated zones: %s', sorted(self._evacuated))


def _log_suspension(known: Upstream, stored: StoreObject) -> None:
    if stored.revision > known.revision:
        _LOG.warning(
            'upstream %s gets no requests until an entry newer than '
            'revision %d names it',
            stored.name,
            stored.revision,
        )


def _log_draining_start(known: Upstream | None, upstream: Upstream) -> None:
    if upstream.is_draining and (known is None or not known.is_draining):
        _LOG.info(
            'upstream %s is draining, revision %d',
            upstream.id,
            upstream.revision,
        )


def _log_restart(known: Upstream, newer: Upstream) -> None:
    is_newer = newer.revision > known.revision
    if is_newer and known.born_ms and newer.born_ms != known.born_ms:
        _LOG.info(
            'upstream %s has started again, revision %d; before: %s',
            newer.incarnation,
            newer.revision,
            known.incarnation,
        )
