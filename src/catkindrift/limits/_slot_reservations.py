"""Own slots that are kept for other availability zones."""

from collections.abc import Collection
from typing import final

import attrs

from catkindrift.clock import Clock

# An offer that nobody has asked for again in this time is taken back.
_RESERVATION_LIFETIME_MS = 2000


@final
@attrs.define
class _Reservation:
    slots: int
    reserved_ms: int
    expires_ms: int
    acknowledged_by: set[str] = attrs.field(factory=set)
    acknowledged_slots: int = 0


@final
@attrs.define
class SlotReservations:
    """Keeps slots free until all neighbours have heard that they are kept.

    A neighbour may use idle slots beyond its share, and learns what others
    lend only from their records. So slots are kept first, and lent to another
    zone only when each neighbour has confirmed a record that shows it.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _reservations: dict[str, _Reservation] = attrs.field(
        init=False, factory=dict
    )

    def reserve(self, upstream: str, slots: int) -> bool:
        """Keep slots of an upstream, and return whether that is news.

        Args:
            upstream: Name of the upstream.
            slots: All slots to be kept, those that are lent included.
        """
        now_ms = self._clock.now_ms()
        ends_ms = now_ms + _RESERVATION_LIFETIME_MS
        offer = self._find_active(upstream)
        if offer is None:
            self._reservations[upstream] = _Reservation(slots, now_ms, ends_ms)
            return True
        offer.expires_ms = ends_ms
        if slots <= offer.slots:
            return False
        offer.slots = slots
        offer.reserved_ms = now_ms
        offer.acknowledged_by.clear()
        return True

    def reserved_slots(self, upstream: str) -> int:
        """Return the slots of an upstream that are kept."""
        offer = self._find_active(upstream)
        return offer.slots if offer else 0

    def record_acknowledgement(self, neighbour: str, asked_ms: int) -> None:
        """Note a neighbour's answer to a record of this VM.

        Args:
            neighbour: Name of the neighbour.
            asked_ms: When the record was sent.
        """
        for offer in self._reservations.values():
            if offer.reserved_ms < asked_ms:
                offer.acknowledged_by.add(neighbour)

    def acknowledged_slots(
        self, upstream: str, neighbours: Collection[str]
    ) -> int:
        """Return the kept slots that all neighbours have heard of.

        Args:
            upstream: Name of the upstream.
            neighbours: Entry VMs of the zone that are alive.
        """
        offer = self._find_active(upstream)
        if offer is None:
            return 0
        if offer.acknowledged_by.issuperset(neighbours):
            offer.acknowledged_slots = offer.slots
        return offer.acknowledged_slots

    def _find_active(self, upstream: str) -> _Reservation | None:
        offer = self._reservations.get(upstream)
        if offer and offer.expires_ms <= self._clock.now_ms():
            self._reservations.pop(upstream)
            return None
        return offer
