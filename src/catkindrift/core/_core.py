"""The decision core of an entry VM."""

import random
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.core._admission import Admission
from catkindrift.core._attempt_results import AttemptResults
from catkindrift.core._borrower import Borrower
from catkindrift.core._bounds import Bounds
from catkindrift.core._dispatcher import Dispatcher
from catkindrift.core._effects import Effect, PublishRecord
from catkindrift.core._events import (
    AttemptEnded,
    BodyMissed,
    ClaimDecided,
    ConfigurationReceived,
    Event,
    GrantsReceived,
    GrantsRequested,
    RecordReceived,
    RequestArrived,
    Ticked,
    UpstreamProbed,
    VmListReceived,
)
from catkindrift.core._finalizer import RequestFinalizer
from catkindrift.core._identity import Identity
from catkindrift.core._lender import Lender
from catkindrift.core._lookups import Lookups
from catkindrift.core._membership import Membership
from catkindrift.core._selector import Selector
from catkindrift.core._shift_gate import ShiftGate
from catkindrift.core._shutdown_events import (
    CoreClosed,
    ShutdownPhaseBegan,
    StopRequested,
)
from catkindrift.core._shutdown_gate import ShutdownGate
from catkindrift.core._shutdown_log import ShutdownLog
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.peers import PeerRecord
from catkindrift.routing import LookupResult, LookupTable


@final
@attrs.define(eq=False, repr=False)
class EntryCore:
    """Makes all decisions of one entry VM and does no I/O itself.

    `handle` returns the effects of an event. Its caller runs them and reports
    their results as further events.

    Args:
        state: All state of the entry VM.
        admission: Admits requests.
    """

    state: CoreState
    slots: Slots = attrs.field(init=False)
    _shift_gate: ShiftGate = attrs.field(init=False)
    _shutdown_gate: ShutdownGate = attrs.field(init=False)
    _shutdown_log: ShutdownLog = attrs.field(init=False)
    _borrower: Borrower = attrs.field(init=False)
    _dispatcher: Dispatcher = attrs.field(init=False)
    admission: Admission = attrs.field(init=False)
    _attempt_results: AttemptResults = attrs.field(init=False)
    _lender: Lender = attrs.field(init=False)
    _membership: Membership = attrs.field(init=False)
    _lookups: Lookups = attrs.field(init=False)

    @classmethod
    def create(
        cls,
        identity: Identity,
        clock: Clock,
        rng: random.Random,
        bounds: Bounds,
    ) -> 'EntryCore':
        """Return a core without configuration, VM list or peers.

        Args:
            identity: Identity of the entry VM.
            clock: Source of time.
            rng: Source of jitter and of the sampling for shifts.
            bounds: Limits of the entry VM.
        """
        return cls(CoreState(identity, clock, rng, bounds))

    def __attrs_post_init__(self) -> None:
        """Create the components, which share the state."""
        state = self.state
        self._shutdown_gate = ShutdownGate(state)
        self._shutdown_log = ShutdownLog(state)
        finalizer = RequestFinalizer(state, self._shutdown_log)
        self.slots = Slots(state)
        self._shift_gate = ShiftGate(state)
        self._borrower = Borrower(state, self.slots)
        self._dispatcher = Dispatcher(
            state,
            self.slots,
            finalizer,
            self._borrower,
            Selector(state, self.slots, self._borrower, self._shift_gate),
            self._shutdown_gate,
        )
        shutdown = (self._shutdown_gate, self._shutdown_log)
        self.admission = Admission(
            state, finalizer, self._dispatcher, *shutdown
        )
        self._attempt_results = AttemptResults(
            state, finalizer, self._dispatcher, *shutdown
        )
        self._lender = Lender(state, self.slots)
        self._membership = Membership(state, self.slots)
        self._lookups = Lookups(state)

    @property
    def is_idle(self) -> bool:
        """Return whether a stopping VM may exit.

        It may when no request is pending and all lookup responses that named
        this VM have expired.
        """
        shutdown = self.state.shutdown
        if not shutdown.has_begun or self.state.pending:
            return False
        return not shutdown.has_stale_callers

    def lookup(self, block: str) -> LookupResult:
        """Return the entry VMs for a client.

        Args:
            block: IPv4 address or address block of the client.

        Raises:
            ValueError: `block` is not an IPv4 address or block.
        """
        return self._lookups.table().look_up(block)

    def lookup_table(self) -> LookupTable:
        """Return the current lookup table, safe to read in other threads."""
        return self._lookups.table()

    @property
    def has_waiting_requests(self) -> bool:
        """Return whether any request waits for a slot."""
        return any(self.state.queues.values())

    def own_record(self) -> PeerRecord:
        """Return this VM's record for its peers."""
        return self._membership.own_record()

    def handle(self, event: Event) -> list[Effect]:
        """Apply an event and return its effects, in the order to run them."""
        self._apply(event)
        return self.state.take_effects()

    def _apply(self, event: Event) -> None:
        match event:
            case RequestArrived():
                self.admission.handle_arrival(event.request)
            case BodyMissed():
                self.admission.handle_missed_body(event.request)
            case AttemptEnded():
                self._attempt_results.handle_result(
                    event.request_id, event.attempt_result
                )
            case ClaimDecided():
                self.admission.handle_claim_result(
                    event.request_id, event.claim_result
                )
            case GrantsRequested():
                self._lender.lend(event)
            case GrantsReceived():
                self._add_borrowed_grants(event)
            case _:
                self._apply_state(event)

    def _apply_state(self, event: Event) -> None:
        match event:
            case StopRequested() | ShutdownPhaseBegan() | CoreClosed():
                self._apply_shutdown(event)
            case Ticked():
                self._tick()
            case RecordReceived():
                self._membership.merge_record(event)
            case ConfigurationReceived():
                self._membership.apply_configuration(event)
                self._shift_gate.refresh()
                self._dispatcher.dispatch_all_waiting()
            case VmListReceived():
                self._apply_vm_list(event)
            case UpstreamProbed():
                self._attempt_results.handle_probe(
                    event.upstream,
                    is_up=event.is_up,
                )

    def _apply_shutdown(
        self, event: StopRequested | ShutdownPhaseBegan | CoreClosed
    ) -> None:
        match event:
            case StopRequested() if not self.state.is_stopping:
                self._shutdown_gate.begin()
                self.state.emit(PublishRecord())
            case ShutdownPhaseBegan():
                self._shutdown_log.record_phase(event.phase, event.in_progress)
            case CoreClosed():
                self._shutdown_gate.finish()
                self._dispatcher.refuse_all_waiting()

    def _apply_vm_list(self, event: VmListReceived) -> None:
        self._membership.apply_vm_list(event.vms)
        self._attempt_results.resolve_restarts()
        self._dispatcher.dispatch_all_waiting()

    def _tick(self) -> None:
        self.slots.refresh()
        self._attempt_results.resolve_restarts()
        self._dispatcher.refuse_expired()
        self._dispatcher.dispatch_all_waiting()

    def _add_borrowed_grants(self, event: GrantsReceived) -> None:
        self._borrower.record_reply(
            event.granter,
            event.service,
            is_empty=not event.grants,
        )
        for grant in event.grants:
            self.state.held_grants.add(grant)
        self._dispatcher.dispatch_waiting(event.service)
