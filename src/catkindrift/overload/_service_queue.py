"""Decides which requests of a service are sent, wait or are refused."""

import random
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.overload._fair_shares import FairShares
from catkindrift.overload._rank import SeenRanks
from catkindrift.overload._return_times import ReturnTimes
from catkindrift.overload._shedding import Shedding
from catkindrift.overload._throughput import Throughput
from catkindrift.overload._waiting_queue import WaitingQueue
from catkindrift.overload._waiting_request import WaitingRequest
from catkindrift.steering import NotPlaced, NotPlacedReason, Placed

# A VM has a few requests a second for each upstream; more that wait couldn't
# leave before their objective.
_MAX_WAITING = 32
# The operators require that hopeless requests are refused within one eighth
# of the objective; none is held for longer.
_HOLD_SHARE = 1 / 8
# Nor longer than this, so that revoked keys and new limits apply in time.
_MAX_HOLD_MS = 500
# Fill at which a request gets a slot without waiting at the upstream.
_FREE_SLOT_FILL = 1.0
# Share of the time left to the objective that may pass in an upstream's own
# queue. The rest is for what other VMs have sent since the last report.
_QUEUE_SHARE = 0.5
# Waits are estimated from reports that are a few hundred milliseconds old; a
# request is refused at once if room is further away than this many holds.
_DOUBT = 2.0

Place = Callable[[WaitingRequest, float | None], Placed | NotPlaced]


@final
@attrs.frozen
class Decision:
    """What becomes of a request that waited or has just arrived.

    Args:
        request: The request.
        choice: Its upstream, or why it is refused.
    """

    request: WaitingRequest
    choice: Placed | NotPlaced


@final
@attrs.define(eq=False, repr=False)
class ServiceQueue:
    """Queue, measurements and advice for one service.

    Args:
        rng: Spreads the times at which refused callers return.
    """

    _rng: random.Random
    _shedding: Shedding = attrs.field(init=False, factory=Shedding)
    _throughput: Throughput = attrs.field(init=False, factory=Throughput)
    _ranks: SeenRanks = attrs.field(init=False, factory=SeenRanks)
    _shares: FairShares = attrs.field(init=False, factory=FairShares)
    _waiting: WaitingQueue = attrs.field(init=False)
    _returns: ReturnTimes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create an empty queue."""
        self._waiting = WaitingQueue(_MAX_WAITING, self._shares)
        self._returns = ReturnTimes(self._rng)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def discard(self, request: WaitingRequest) -> None:
        """Remove a request whose caller has left."""
        self._waiting.discard(request)

    def record_response(self, now_ms: int, delay_ms: float) -> None:
        """Record a response.

        Args:
            now_ms: When it arrived.
            delay_ms: Time that requests spend in its upstream's queue, by the
                load that it reports.
        """
        self._throughput.record_response(now_ms)
        self._shedding.record_delay(delay_ms, now_ms)

    def offer(
        self,
        request: WaitingRequest,
        now_ms: int,
        average_ms: float,
        place: Place,
    ) -> list[Decision]:
        """Add a request, and return what is decided now.

        Args:
            request: The request; it waits unless a decision names it.
            now_ms: Present time.
            average_ms: Average latency of the service.
            place: Chooses an upstream below a fill, and reserves the slot.
        """
        if not request.is_retry:
            self._ranks.record(request.rank, now_ms)
            self._shares.record_arrival(request, now_ms)
            self._shedding.record_arrival(request, now_ms, average_ms)
        if self._is_shed(request, now_ms, average_ms):
            return [self._refuse(request, now_ms)]
        last = self._waiting.add(request, now_ms, average_ms)
        decisions = self.release(now_ms, average_ms, place)
        if last:
            decisions.append(self._refuse(last, now_ms))
        return decisions

    def release(
        self, now_ms: int, average_ms: float, place: Place
    ) -> list[Decision]:
        """Return the requests that leave the queue now.

        Args:
            now_ms: Present time.
            average_ms: Average latency of the service.
            place: Chooses an upstream below a fill, and reserves the slot.
        """
        decisions = []
        for request in self._waiting.in_order(now_ms, average_ms):
            choice = self._decide(request, now_ms, average_ms, place)
            if choice is None:
                continue
            self._waiting.discard(request)
            if isinstance(choice, Placed):
                self._shares.record_sent(request, now_ms)
            else:
                choice = self._advise(request, choice, now_ms)
            decisions.append(Decision(request, choice))
        return decisions

    def _decide(
        self,
        request: WaitingRequest,
        now_ms: int,
        average_ms: float,
        place: Place,
    ) -> Placed | NotPlaced | None:
        """Return an upstream, a refusal, or None if the request waits."""
        fill = self._max_fill(request, now_ms, average_ms)
        choice = place(request, fill)
        is_full = (
            isinstance(choice, NotPlaced)
            and choice.reason is NotPlacedReason.ALL_FULL
        )
        if not is_full or isinstance(choice, Placed):
            return choice
        room_ms = choice.queue_wait_ms - (fill - 1) * average_ms
        hold_ms = _hold_until_ms(request) - now_ms
        if hold_ms > 0 and room_ms <= hold_ms * _DOUBT:
            return None
        if self._shedding.is_needed:
            return choice
        # Without a queue at the upstreams nobody is delayed by a request that
        # is sent as it would be without this package.
        return place(request, None)

    def _max_fill(
        self, request: WaitingRequest, now_ms: int, average_ms: float
    ) -> float:
        """Return the fill up to which a request may be sent.

        Only the most urgent kind may wait at an upstream, where nothing can
        overtake it, and only as long as its objective allows.
        """
        spare_ms = request.objective_ms - now_ms - average_ms
        if spare_ms <= 0 or self._ranks.has_more_urgent(request.rank, now_ms):
            return _FREE_SLOT_FILL
        return _FREE_SLOT_FILL + spare_ms * _QUEUE_SHARE / average_ms

    def _is_shed(
        self, request: WaitingRequest, now_ms: int, average_ms: float
    ) -> bool:
        """Return whether a request is turned away before it waits."""
        share = self._shedding.refused_share(request, now_ms, average_ms)
        if not share or self._shares.is_starved(request.workspace, now_ms):
            return False
        return self._rng.random() < share

    def _refuse(self, request: WaitingRequest, now_ms: int) -> Decision:
        delay_ms = self._shedding.delay_ms
        full = NotPlaced(NotPlacedReason.ALL_FULL, delay_ms, delay_ms)
        return Decision(request, self._advise(request, full, now_ms))

    def _advise(
        self, request: WaitingRequest, refusal: NotPlaced, now_ms: int
    ) -> NotPlaced:
        """Return a refusal with the time at which its caller may return."""
        if refusal.reason not in _FULL_REASONS:
            return refusal
        wait_ms = self._returns.next_wait_ms(
            now_ms,
            refusal.queue_wait_ms,
            self._throughput.per_second(now_ms),
            _useful_ms(request, now_ms),
        )
        return attrs.evolve(refusal, retry_after_ms=wait_ms)


_FULL_REASONS = frozenset((NotPlacedReason.ALL_FULL, NotPlacedReason.TOO_LATE))


def _useful_ms(request: WaitingRequest, now_ms: int) -> int:
    """Return the time in which an answer earns all that it still can."""
    if request.meets_objective(now_ms):
        return request.objective_ms - now_ms
    return request.deadline_ms - now_ms


def _hold_until_ms(request: WaitingRequest) -> float:
    objective_ms = request.objective_ms - request.arrived_ms
    return request.arrived_ms + min(objective_ms * _HOLD_SHARE, _MAX_HOLD_MS)
