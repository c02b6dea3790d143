"""Wire format of an upstream's entry in the platform's store."""

import math
from collections.abc import Mapping
from typing import Any, final

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
    """Spec of an upstream's entry.

    Args:
        address: IP:port.
        info: Properties that do not change while the upstream runs.
        status: State that changes.
        born: Unix milliseconds of the start; a malformed value counts as
            not stated.
    """

    address: str
    info: WireServerInfo
    status: WireServerStatus = WireServerStatus()
    born: Any = 0

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
            born_ms=decode_start_ms(self.born),
        )


def decode_start_ms(stated: Any) -> int:
    """Return a stated start in Unix milliseconds, or 0 if malformed."""
    is_number = isinstance(stated, int | float)
    if not is_number or not math.isfinite(stated):
        return 0
    return max(0, int(stated))
