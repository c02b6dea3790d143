"""Rate limiters, a circuit breaker, fair queues and slot sharing."""

from catkindrift.limits._circuit_breaker import CircuitBreaker
from catkindrift.limits._fair_queue import FairQueue
from catkindrift.limits._grant import Grant
from catkindrift.limits._held_grants import HeldGrants
from catkindrift.limits._issued_grants import HolderLoad, IssuedGrants
from catkindrift.limits._sliding_window import WINDOW_MS, SlidingWindow
from catkindrift.limits._slot_reservations import SlotReservations
from catkindrift.limits._slot_shares import slot_share
from catkindrift.limits._token_bucket import TokenBucket

__all__ = [
    'WINDOW_MS',
    'CircuitBreaker',
    'FairQueue',
    'Grant',
    'HeldGrants',
    'HolderLoad',
    'IssuedGrants',
    'SlidingWindow',
    'SlotReservations',
    'TokenBucket',
    'slot_share',
]
