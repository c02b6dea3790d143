"""Round-trip times to availability zones."""

from collections.abc import Mapping
from typing import final

import attrs

# Round-trip times assumed until a connection to the zone has been measured.
_DEFAULT_SAME_ZONE_MS = 0.3
_DEFAULT_SAME_REGION_MS = 2.0
_DEFAULT_OTHER_REGION_MS = 40.0
# Weight of the newest sample in the moving averages.
_SAMPLE_WEIGHT = 0.2


@final
@attrs.define(eq=False, repr=False)
class ZoneDistances:
    """Moving averages of the round-trip time to each availability zone.

    Args:
        own_zone: Zone of this entry VM.
        regions: Region by name of the zone.
    """

    _own_zone: str
    _regions: Mapping[str, str]
    _measured_ms: dict[str, float] = attrs.field(init=False, factory=dict)

    def round_trip_ms(self, zone: str) -> float:
        """Return the average round-trip time to a zone, or a default."""
        return self._measured_ms.get(zone, self._default_ms(zone))

    def is_own_zone(self, zone: str) -> bool:
        """Return whether this entry VM is in the zone."""
        return zone == self._own_zone

    def is_own_region(self, zone: str) -> bool:
        """Return whether a zone is in this entry VM's region."""
        return self._regions.get(zone) == self._regions.get(self._own_zone)

    def add_sample(self, zone: str, connect_ms: float) -> None:
        """Add a sample of the time that a connection to a zone took.

        A sample counts as at most about three times the average.
        """
        before_ms = self.round_trip_ms(zone)
        bounded_ms = min(connect_ms, 3 * before_ms + 1)
        change_ms = _SAMPLE_WEIGHT * (bounded_ms - before_ms)
        self._measured_ms[zone] = before_ms + change_ms

    def _default_ms(self, zone: str) -> float:
        if self.is_own_zone(zone):
            return _DEFAULT_SAME_ZONE_MS
        if self.is_own_region(zone):
            return _DEFAULT_SAME_REGION_MS
        return _DEFAULT_OTHER_REGION_MS
