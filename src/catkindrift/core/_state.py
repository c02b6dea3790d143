"""All state of an entry VM, accessed only from the event loop."""

import random
from collections import Counter
from typing import final

import attrs

from catkindrift.blame import Suspects
from catkindrift.clock import Clock
from catkindrift.core._active_config import ActiveConfiguration
from catkindrift.core._bounds import Bounds
from catkindrift.core._count_keys import RefusalKey, ResponseKey
from catkindrift.core._effects import Effect
from catkindrift.core._identity import Identity
from catkindrift.core._invariants import Invariants
from catkindrift.core._pending_request import PendingRequest
from catkindrift.domain import Configuration
from catkindrift.limits import (
    FairQueue,
    HeldGrants,
    IssuedGrants,
    SlotReservations,
)
from catkindrift.peers import Members
from catkindrift.retries import RetryBudget
from catkindrift.routing import UpstreamTable
from catkindrift.shutdown import RecentDurations, Shutdown


@final
@attrs.define(eq=False, repr=False)
class CoreState:
    """State shared by the components of the decision core.

    Args:
        identity: Identity of this entry VM.
        clock: Source of time.
        rng: Source of jitter and of the sampling for shifts.
        bounds: Limits of the VM.
        active_config: The active configuration; empty before the first one.
        is_ready: A configuration has been activated.
        confirmed_ms: Latest time at which the active configuration is known
            to have been the newest; None if unknown.
        pending: Requests without a final response, by request id.
        queues: Waiting requests by service.
        moved_counts: Requests moved to another region, by shift.
        shutdown_counts: Requests during a shutdown, by what became of them.
    """

    identity: Identity
    clock: Clock
    rng: random.Random
    bounds: Bounds
    active_config: ActiveConfiguration = attrs.field(
        factory=lambda: ActiveConfiguration.prepare(Configuration()),
    )
    is_ready: bool = False
    started_ms: int = attrs.field(init=False)
    confirmed_ms: int | None = None
    invariants: Invariants = attrs.field(factory=Invariants)
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
    upstreams: UpstreamTable = attrs.field(factory=UpstreamTable)
    pending: dict[int, PendingRequest] = attrs.field(factory=dict)
    queues: dict[str, FairQueue[PendingRequest]] = attrs.field(factory=dict)
    refusal_counts: Counter[RefusalKey] = attrs.field(factory=Counter)
    response_counts: Counter[ResponseKey] = attrs.field(factory=Counter)
    moved_counts: Counter[str] = attrs.field(factory=Counter)
    shutdown_counts: Counter[str] = attrs.field(factory=Counter)
    effects: list[Effect] = attrs.field(factory=list)
    members: Members = attrs.field(init=False)
    held_grants: HeldGrants = attrs.field(init=False)
    issued_grants: IssuedGrants = attrs.field(init=False)
    slot_reservations: SlotReservations = attrs.field(init=False)
    suspects: Suspects = attrs.field(init=False)
    shutdown: Shutdown = attrs.field(init=False)
    durations: RecentDurations = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the fields that need the clock or the identity."""
        self.started_ms = self.clock.now_ms()
        name = self.identity.name
        incarnation = self.identity.incarnation
        self.members = Members(self.clock, name, incarnation)
        self.held_grants = HeldGrants(self.clock)
        self.issued_grants = IssuedGrants(self.clock, name, incarnation)
        self.slot_reservations = SlotReservations(self.clock)
        self.suspects = Suspects(self.clock)
        self.shutdown = Shutdown(self.clock)
        self.durations = RecentDurations(self.clock)

    @property
    def is_stopping(self) -> bool:
        """Return whether a graceful stop has begun."""
        return self.shutdown.has_begun

    def emit(self, effect: Effect) -> None:
        """Append an effect of the event that is being handled."""
        self.effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects emitted so far, and clear them."""
        effects = self.effects
        self.effects = []
        return effects

    def queue(self, service: str, limit: int) -> FairQueue[PendingRequest]:
        """Return the queue of a service, created on first use.

        Args:
            service: Name of the service.
            limit: Its current queue limit, which replaces an earlier one.
        """
        found = self.queues.get(service)
        if found is None:
            found = FairQueue(limit)
            self.queues[service] = found
        found.limit = limit
        return found
