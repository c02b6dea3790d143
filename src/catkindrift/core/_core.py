"""The decision core of an entry VM."""

import random
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.core._admission import Admission
from catkindrift.core._answers import Answers
from catkindrift.core._borrower import Borrower
from catkindrift.core._bounds import Bounds
from catkindrift.core._dispatcher import Dispatcher
from catkindrift.core._effects import Effect, PublishRecord
from catkindrift.core._events import (
    AttemptEnded,
    ClaimJudged,
    Closed,
    ConfigurationSeen,
    Event,
    GrantAsked,
    GrantsAnswered,
    RecordSeen,
    RequestArrived,
    StopRequested,
    Ticked,
    UpstreamProbed,
    VmListSeen,
)
from catkindrift.core._identity import Identity
from catkindrift.core._lender import Lender
from catkindrift.core._lookups import Lookups
from catkindrift.core._membership import Membership
from catkindrift.core._outcomes import Outcomes
from catkindrift.core._selector import Selector
from catkindrift.core._shift_gate import ShiftGate
from catkindrift.core._slots import Slots
from catkindrift.core._state import CoreState
from catkindrift.peers import PeerRecord
from catkindrift.routing import LookupResult, LookupTable


@final
@attrs.define(eq=False)
class EntryCore:
    """Decides for one entry VM, without input or output.

    Every event returns the effects that follow from it. The caller carries
    them out and reports what came of them as further events.

    Args:
        state: All state of the entry VM.
    """

    state: CoreState
    slots: Slots = attrs.field(init=False)
    _gate: ShiftGate = attrs.field(init=False)
    _borrower: Borrower = attrs.field(init=False)
    _dispatcher: Dispatcher = attrs.field(init=False)
    _admission: Admission = attrs.field(init=False)
    _outcomes: Outcomes = attrs.field(init=False)
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
        """Return a core that knows nothing yet but who it is."""
        return cls(CoreState(identity, clock, rng, bounds))

    def __attrs_post_init__(self) -> None:
        """Wire the parts."""
        state = self.state
        answers = Answers(state)
        self.slots = Slots(state)
        self._gate = ShiftGate(state)
        self._borrower = Borrower(state, self.slots)
        self._dispatcher = Dispatcher(
            state,
            self.slots,
            answers,
            self._borrower,
            Selector(state, self.slots, self._borrower, self._gate),
        )
        self._admission = Admission(state, answers, self._dispatcher)
        self._outcomes = Outcomes(state, answers, self._dispatcher)
        self._lender = Lender(state, self.slots)
        self._membership = Membership(state, self.slots)
        self._lookups = Lookups(state)

    @property
    def is_idle(self) -> bool:
        """Return whether a stopping VM may end.

        No request is in flight, and every look-up answer that named this VM
        has ended.
        """
        since_ms = self.state.stopping_since_ms
        if since_ms is None or self.state.pending:
            return False
        stopping_ms = self.state.clock.now_ms() - since_ms
        return stopping_ms >= self.state.bounds.lookup_lifetime_ms

    def lookup(self, block: str) -> LookupResult:
        """Return the entry VMs for a client address or block.

        Raises:
            ValueError: The text is no IPv4 address or block.
        """
        return self._lookups.table().look_up(block)

    def lookup_table(self) -> LookupTable:
        """Return the present table for look-ups."""
        return self._lookups.table()

    @property
    def has_waiting(self) -> bool:
        """Return whether requests wait for a slot."""
        return any(self.state.queues.values())

    def own_record(self) -> PeerRecord:
        """Return this VM's record for the others."""
        return self._membership.own_record()

    def handle(self, event: Event) -> list[Effect]:
        """Take in an event and return what has to be done."""
        self._apply(event)
        return self.state.take_effects()

    def _apply(self, event: Event) -> None:
        match event:
            case RequestArrived():
                self._admission.arrive(event.request)
            case AttemptEnded():
                self._outcomes.attempt_ended(event.request_id, event.ended)
            case ClaimJudged():
                self._admission.claim_judged(event.request_id, event.verdict)
            case Ticked():
                self._tick()
            case GrantAsked():
                self._lender.answer(event)
            case GrantsAnswered():
                self._grants_answered(event)
            case _:
                self._apply_state(event)

    def _apply_state(self, event: Event) -> None:
        match event:
            case RecordSeen():
                self._membership.see_record(event)
            case ConfigurationSeen():
                self._membership.see_configuration(event)
                self._gate.refresh()
                self._dispatcher.pump_all()
            case VmListSeen():
                self._membership.see_vms(event.vms)
                self._dispatcher.pump_all()
            case UpstreamProbed():
                self._outcomes.upstream_probed(
                    event.upstream,
                    is_up=event.is_up,
                )
            case StopRequested():
                self._stop()
            case Closed():
                self._dispatcher.give_up_all()

    def _tick(self) -> None:
        self.slots.refresh()
        self._dispatcher.expire()
        self._dispatcher.pump_all()

    def _grants_answered(self, event: GrantsAnswered) -> None:
        self._borrower.answered(
            event.granter,
            event.service,
            is_empty=not event.grants,
        )
        for grant in event.grants:
            self.state.book.add(grant)
        self._dispatcher.pump(event.service)

    def _stop(self) -> None:
        if self.state.is_stopping:
            return
        self.state.stopping_since_ms = self.state.clock.now_ms()
        self.state.emit(PublishRecord())
