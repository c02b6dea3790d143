"""Requests to other entry VMs for grants of slots."""

from typing import final

import attrs

from catkindrift.core._effects import RequestGrants
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.peers import PeerRecord, ServiceCapacity

_MAX_SLOTS_PER_REQUEST = 4
_EMPTY_REPLY_BACKOFF_MS = 250
_REPLY_TIMEOUT_MS = 2000
# A queue that the own slots clear sooner than this is not sent to another
# region.
_MIN_REMOTE_REGION_WAIT_MS = 100.0


@final
@attrs.define(eq=False, repr=False)
class Borrower:
    """Requests slots from the nearest entry VM that reports free ones.

    Each entry VM gets at most one request per service at a time. An empty
    reply starts a jittered backoff for that VM and service.

    Args:
        state: State of the entry VM.
        slots: Slots of this VM.
    """

    _state: CoreState
    _slots: Slots
    _next_request_ms: dict[tuple[str, str], int] = attrs.field(
        init=False,
        factory=dict,
    )

    def request_slots(self, service: str, waiting: int) -> None:
        """Request slots for the waiting requests of a service.

        Args:
            service: Name of the service.
            waiting: Number of waiting requests.
        """
        for record in self._nearest_first(service):
            is_other_region = record.region != self._state.identity.region
            if is_other_region and self._queue_clears_soon(service, waiting):
                return
            if self._try_request(record, service, waiting):
                return

    def request_slots_in_region(self, service: str, region: str) -> None:
        """Request slots from a region before a shift moves requests there."""
        for record in self._nearest_first(service):
            if record.region == region:
                self._try_request(record, service, _MAX_SLOTS_PER_REQUEST)

    def record_reply(
        self, granter: str, service: str, *, is_empty: bool
    ) -> None:
        """Record a reply, and back off if it granted nothing.

        Args:
            granter: Entry VM that replied, or failed to.
            service: Name of the service.
            is_empty: The reply grants no slots.
        """
        backoff_ms = 0
        if is_empty:
            backoff_ms = round(
                _EMPTY_REPLY_BACKOFF_MS * self._state.rng.uniform(1, 2)
            )
        now_ms = self._state.clock.now_ms()
        self._next_request_ms[granter, service] = now_ms + backoff_ms

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
        with_free_slots = [
            record
            for record in self._state.members.alive_records()
            if free_slots(record, service) > 0
        ]
        return sorted(
            with_free_slots,
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
    """Return the number of free slots that an entry VM reports.

    Args:
        record: Record of the entry VM.
        service: Name of the service.
    """
    return sum(
        _unused_slots(capacity)
        for capacity in record.capacities
        if capacity.service == service
    )


def _unused_slots(capacity: ServiceCapacity) -> int:
    return max(capacity.slots - capacity.used - capacity.waiting, 0)
