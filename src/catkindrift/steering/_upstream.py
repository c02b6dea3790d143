"""Entry of an upstream in the platform's store."""

from typing import final

import attrs


@final
@attrs.frozen
class Upstream:
    """Process of an upstream; its id changes with each restart.

    Args:
        id: Id that is unique among all processes of all upstreams.
        service: Name of the service whose requests it runs.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        region: Region of that zone.
        slots: Number of requests that it can run concurrently.
        is_draining: Whether it is shutting down and must get no new requests.
        cold_remaining_ms: Time for which it remains cold, as of `revision`.
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
