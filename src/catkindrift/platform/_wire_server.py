"""Entry of an upstream in the platform's store."""

from collections.abc import Mapping
from typing import final

import attrs

from catkindrift.steering import Upstream

_MILLISECONDS_PER_SECOND = 1000
_DRAINING = 'draining'


@final
@attrs.frozen
class WireServerInfo:
    """What does not change while an upstream runs."""

    service: str
    zone: str
    slots: int = 1


@final
@attrs.frozen
class WireServerStatus:
    """What changes; stands inside the spec, not in the object's status."""

    state: str = 'ready'
    cold_left_s: float = 0


@final
@attrs.frozen
class WireServer:
    """The spec of an entry."""

    address: str
    info: WireServerInfo
    status: WireServerStatus = WireServerStatus()

    def decode(
        self,
        name: str,
        revision: int,
        regions: Mapping[str, str],
    ) -> Upstream:
        """Return the upstream.

        Raises:
            ValueError: The address or the slots make no sense.
        """
        host, _, port = self.address.rpartition(':')
        if not host:
            raise ValueError(f'address {self.address!r} is not IP:port')
        return Upstream(
            id=name,
            service=self.info.service,
            host=host,
            port=int(port),
            zone=self.info.zone,
            region=regions.get(self.info.zone, ''),
            slots=self.info.slots,
            is_draining=self.status.state == _DRAINING,
            cold_remaining_ms=round(
                self.status.cold_left_s * _MILLISECONDS_PER_SECOND,
            ),
            revision=revision,
        )
