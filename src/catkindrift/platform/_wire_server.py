"""Wire format of an upstream's entry in the platform's store."""

import ipaddress
import math
from collections.abc import Mapping
from typing import Annotated, Any, Literal, final

import attrs
import msgspec

from catkindrift.steering import Upstream

_MILLISECONDS_PER_SECOND = 1000
_DRAINING = 'draining'
_LAST_PORT = 65_535
# Largest whole number that all readers of JSON hold exactly (RFC 8259).
_MAX_WHOLE = 9_007_199_254_740_991


@final
@attrs.frozen
class WireServerInfo:
    """Properties that do not change while an upstream runs."""

    service: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(le=_MAX_WHOLE)]


@final
@attrs.frozen
class WireServerStatus:
    """State that changes; the platform keeps it inside the spec."""

    state: Literal['ready', 'draining']
    cold_left_s: float
    seq_no: int


@final
@attrs.frozen
class WireServer:
    """Spec of an upstream's entry.

    Other writers write entries too; one in which a field is missing, of
    another type or of an unknown value names no upstream.

    Args:
        address: IP:port.
        info: Properties that do not change while the upstream runs.
        status: State that changes.
        born: Unix milliseconds of the start; older platforms don't state it.
    """

    address: str
    info: WireServerInfo
    status: WireServerStatus
    born: Annotated[int, msgspec.Meta(le=_MAX_WHOLE)] | msgspec.UnsetType = (
        msgspec.UNSET
    )

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
            ValueError: The address is malformed, or a number out of range.
        """
        host, port = _parse_address(self.address)
        cold_ms = self.status.cold_left_s * _MILLISECONDS_PER_SECOND
        if not math.isfinite(cold_ms):
            raise ValueError(
                f'cold_left_s {self.status.cold_left_s} is endless'
            )
        return Upstream(
            id=name,
            service=self.info.service,
            host=host,
            port=port,
            zone=self.info.zone,
            region=regions.get(self.info.zone, ''),
            slots=self.info.slots,
            is_draining=self.status.state == _DRAINING,
            cold_remaining_ms=round(cold_ms),
            revision=revision,
            born_ms=0 if self.born is msgspec.UNSET else max(0, self.born),
        )


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    is_port = port.isascii() and port.isdigit()
    if not is_port or not 0 < int(port) <= _LAST_PORT:
        raise ValueError(f'address {address!r} is not IP:port')
    ipaddress.ip_address(host)
    return host, int(port)


def decode_start_ms(stated: Any) -> int:
    """Return a stated start in Unix milliseconds, or 0 if malformed."""
    is_number = isinstance(stated, int | float)
    if not is_number or not math.isfinite(stated):
        return 0
    return max(0, int(stated))
