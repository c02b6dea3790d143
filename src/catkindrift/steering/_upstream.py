"""What the platform says about one upstream."""

from typing import final

import attrs


@final
@attrs.frozen
class Upstream:
    """One start of an upstream; a restart has another id.

    Args:
        id: Unique among all starts of all upstreams.
        service: Service whose requests it runs.
        host: IP number.
        port: TCP port.
        zone: Availability zone.
        region: Region of that zone.
        slots: Requests it runs at the same time.
        is_draining: Whether it is leaving.
        cold_left_ms: How much longer it is cold, as of the revision.
        revision: Store revision of the entry.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    region: str
    slots: int = attrs.field(validator=attrs.validators.ge(1))
    is_draining: bool
    cold_remaining_ms: int
    revision: int
