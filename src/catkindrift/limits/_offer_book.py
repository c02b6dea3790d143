"""Own slots that are kept for other availability zones."""

from collections.abc import Collection
from typing import final

import attrs

from catkindrift.clock import Clock

# An offer that nobody has asked for again in this time is taken back.
_LIFE_MS = 2000


@final
@attrs.define
class _Offer:
    slots: int
    since_ms: int
    ends_ms: int
    heard: set[str] = attrs.field(factory=set)
    confirmed: int = 0


@final
@attrs.define
class OfferBook:
    """Keeps slots free until all neighbours have heard that they are kept.

    A neighbour may use idle slots beyond its share, and learns what others
    lend only from their records. So slots are kept first, and lent to another
    zone only when each neighbour has confirmed a record that shows it.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _offers: dict[str, _Offer] = attrs.field(init=False, factory=dict)

    def keep(self, upstream: str, slots: int) -> bool:
        """Keep slots of an upstream, and return whether that is news.

        Args:
            upstream: Name of the upstream.
            slots: All slots to be kept, those that are lent included.
        """
        now_ms = self._clock.now_ms()
        ends_ms = now_ms + _LIFE_MS
        offer = self._alive(upstream)
        if offer is None:
            self._offers[upstream] = _Offer(slots, now_ms, ends_ms)
            return True
        offer.ends_ms = ends_ms
        if slots <= offer.slots:
            return False
        offer.slots = slots
        offer.since_ms = now_ms
        offer.heard.clear()
        return True

    def kept(self, upstream: str) -> int:
        """Return the slots of an upstream that are kept."""
        offer = self._alive(upstream)
        return offer.slots if offer else 0

    def heard(self, neighbour: str, asked_ms: int) -> None:
        """Note a neighbour's answer to a record of this VM.

        Args:
            neighbour: Name of the neighbour.
            asked_ms: When the record was sent.
        """
        for offer in self._offers.values():
            if offer.since_ms < asked_ms:
                offer.heard.add(neighbour)

    def confirmed(self, upstream: str, neighbours: Collection[str]) -> int:
        """Return the kept slots that all neighbours have heard of.

        Args:
            upstream: Name of the upstream.
            neighbours: Entry VMs of the zone that are alive.
        """
        offer = self._alive(upstream)
        if offer is None:
            return 0
        if offer.heard.issuperset(neighbours):
            offer.confirmed = offer.slots
        return offer.confirmed

    def _alive(self, upstream: str) -> _Offer | None:
        offer = self._offers.get(upstream)
        if offer and offer.ends_ms <= self._clock.now_ms():
            self._offers.pop(upstream)
            return None
        return offer
