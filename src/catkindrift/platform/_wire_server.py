"""Wire format of an upstream's entry in the platform's store."""

from collections.abc import Mapping
from typing import final

import attrs

from catkindrift.steering import Upstream

_MILLISECONDS_PER_SECOND = 1000
_DRAINING = 'draining'


@final
@attrs.frozen
class WireServerInfo:
    """Properties that do not change while an upstream runs."""

    service: str
    zone: str
    slots: int = 1


@final
@attrs.frozen
class WireServerStatus:
    """State that changes; the platform keeps it inside the spec."""

    state: str = 'ready'
    cold_left_s: float = 0


@final
@attrs.frozen
class WireServer:
    """Spec of an upstream's entry; `address` is IP:port."""

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

        Args:
            name: Id of the upstream.
            revision: Store revision of the entry.
            regions: Region by availability zone.

        Raises:
            ValueError: The address is malformed or the slots out of range.
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
