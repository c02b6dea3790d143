"""Entry of an upstream in the platform's store."""

from typing import final

import attrs


@final
@attrs.frozen
class Upstream:
    """One start of an upstream, as its entry describes it.

    Args:
        id: Id that no other upstream has; a restart may keep it.
        service: Name of the service whose requests it runs.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        region: Region of that zone.
        slots: Number of requests that it can run concurrently.
        is_draining: Whether it is shutting down and must get no new requests.
        cold_remaining_ms: Time for which it remains cold, as of `revision`.
        revision: Store revision of the entry.
        born_ms: Unix time of the start; 0 if not stated, and then each start
            has another id.
        is_named: Whether the newest entry can be used; if not, the upstream
            is as the last one described it, and must get no new requests.
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
    born_ms: int = 0
    is_named: bool = True

    @property
    def incarnation(self) -> str:
        """Identity of this start of the upstream."""
        return f'{self.id}@{self.born_ms}' if self.born_ms else self.id

    def suspend(self, revision: int) -> 'Upstream':
        """Return the upstream without use, until a newer entry names it.

        Args:
            revision: Store revision of the entry that can't be used.
        """
        return attrs.evolve(
            self, is_named=False, cold_remaining_ms=0, revision=revision
        )
