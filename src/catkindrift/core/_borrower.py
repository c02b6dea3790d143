"""Questions to other entry VMs for slots."""

from typing import final

import attrs

from catkindrift.core._effects import RequestGrants
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.peers import PeerRecord, ServiceCapacity

_MAX_SLOTS_PER_REQUEST = 4
_EMPTY_REPLY_BACKOFF_MS = 250
_REPLY_TIMEOUT_MS = 2000
# A queue that its own slots clear sooner than this stays in the region.
_MIN_REMOTE_REGION_WAIT_MS = 100.0


@final
@attrs.define(eq=False)
class Borrower:
    """Asks the nearest entry VM that reports free slots.

    One question for a service is open to an entry VM at a time; after an
    empty answer it is left alone for a jittered while.

    Args:
        state: State of the entry VM.
        slots: Slots that this VM owns.
    """

    _state: CoreState
    _slots: Slots
    _next_request_ms: dict[tuple[str, str], int] = attrs.field(
        init=False,
        factory=dict,
    )

    def request_slots(self, service: str, waiting: int) -> None:
        """Ask for slots for the waiting requests of a service."""
        for record in self._nearest_first(service):
            is_far = record.region != self._state.identity.region
            if is_far and self._queue_clears_soon(service, waiting):
                return
            if self._try_request(record, service, waiting):
                return

    def request_slots_in_region(self, service: str, region: str) -> None:
        """Ask a region for slots before requests are moved there."""
        for record in self._nearest_first(service):
            if record.region == region:
                self._try_request(record, service, _MAX_SLOTS_PER_REQUEST)

    def record_reply(
        self, granter: str, service: str, *, is_empty: bool
    ) -> None:
        """Record the answer to a question."""
        pause_ms = 0
        if is_empty:
            pause_ms = round(
                _EMPTY_REPLY_BACKOFF_MS * self._state.rng.uniform(1, 2)
            )
        now_ms = self._state.clock.now_ms()
        self._next_request_ms[granter, service] = now_ms + pause_ms

    def _try_request(
        self,
        record: PeerRecord,
        service: str,
        waiting: int,
    ) -> bool:
        key = (record.vm.name, service)
        now_ms = self._state.clock.now_ms()
        if now_ms < self._next_request_ms.get(key, now_ms):
            return False
        self._next_request_ms[key] = now_ms + _REPLY_TIMEOUT_MS
        wanted = min(waiting, _MAX_SLOTS_PER_REQUEST)
        self._state.emit(RequestGrants(record.vm.name, service, wanted))
        return True

    def _nearest_first(self, service: str) -> list[PeerRecord]:
        identity = self._state.identity
        with_room = [
            record
            for record in self._state.members.alive_records()
            if free_slots(record, service) > 0
        ]
        return sorted(
            with_room,
            key=lambda record: (
                record.vm.zone != identity.zone,
                record.region != identity.region,
                -free_slots(record, service),
                record.vm.name,
            ),
        )

    def _queue_clears_soon(self, service: str, waiting: int) -> bool:
        slots, _ = self._slots.capacity(service)
        if not slots:
            return False
        fastest_ms = min(
            upstream.latency_ms
            for upstream in self._state.upstreams.of_service(service)
        )
        return fastest_ms * waiting / slots < _MIN_REMOTE_REGION_WAIT_MS


def free_slots(record: PeerRecord, service: str) -> int:
    """Return the slots of a service that an entry VM reports as free."""
    return sum(
        _free_in_room(room)
        for room in record.capacities
        if room.service == service
    )


def _free_in_room(room: ServiceCapacity) -> int:
    return max(room.slots - room.used - room.waiting, 0)
