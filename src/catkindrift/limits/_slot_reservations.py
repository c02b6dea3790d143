"""Own slots that are reserved for grants to other availability zones."""

from collections.abc import Collection
from typing import final

import attrs

from catkindrift.clock import Clock

# A reservation ends when no other zone has requested slots for this long.
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
    """Reserves slots and tracks which zone peers know of the reservation.

    Zone peers are the other entry VMs of the own zone. They may use idle
    slots beyond their share, and they learn from this VM's gossip records
    which slots it reserves. Lending a slot that a peer already uses would
    overload the upstream, so a slot is reserved first, and lent to another
    zone only after every zone peer has acknowledged a record that shows the
    reservation.

    Args:
        clock: Source of monotonic time.
    """

    _clock: Clock
    _reservations: dict[str, _Reservation] = attrs.field(
        init=False, factory=dict
    )

    def reserve(self, upstream: str, slots: int) -> bool:
        """Reserve slots of an upstream, or extend its reservation.

        Args:
            upstream: Name of the upstream.
            slots: Total slots to reserve, including those already lent. An
                active reservation is never reduced.

        Returns:
            Whether zone peers must be informed of a new or larger
            reservation.
        """
        now_ms = self._clock.now_ms()
        expires_ms = now_ms + _RESERVATION_LIFETIME_MS
        reservation = self._find_active(upstream)
        if reservation is None:
            self._reservations[upstream] = _Reservation(
                slots, now_ms, expires_ms
            )
            return True
        reservation.expires_ms = expires_ms
        if slots <= reservation.slots:
            return False
        reservation.slots = slots
        reservation.reserved_ms = now_ms
        reservation.acknowledged_by.clear()
        return True

    def reserved_slots(self, upstream: str) -> int:
        """Return the number of reserved slots of an upstream."""
        reservation = self._find_active(upstream)
        return reservation.slots if reservation else 0

    def record_acknowledgement(self, peer: str, sent_ms: int) -> None:
        """Record that a zone peer has received a record of this VM.

        Args:
            peer: Name of the zone peer.
            sent_ms: Monotonic time at which the record was sent.
        """
        for reservation in self._reservations.values():
            if reservation.reserved_ms < sent_ms:
                reservation.acknowledged_by.add(peer)

    def acknowledged_slots(
        self, upstream: str, zone_peers: Collection[str]
    ) -> int:
        """Return the reserved slots that all zone peers know of.

        A number acknowledged by all stays acknowledged while a larger one is
        pending, and when further peers come alive.

        Args:
            upstream: Name of the upstream.
            zone_peers: Other entry VMs of the zone that are alive.
        """
        reservation = self._find_active(upstream)
        if reservation is None:
            return 0
        if reservation.acknowledged_by.issuperset(zone_peers):
            reservation.acknowledged_slots = reservation.slots
        return reservation.acknowledged_slots

    def _find_active(self, upstream: str) -> _Reservation | None:
        reservation = self._reservations.get(upstream)
        if reservation and reservation.expires_ms <= self._clock.now_ms():
            self._reservations.pop(upstream)
            return None
        return reservation
