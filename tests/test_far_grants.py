"""Work from other availability zones finds the slots that were granted."""

from catkindrift.clock import ManualClock
from catkindrift.core import GrantsRequested, LendGrants
from catkindrift.limits import SlotReservations
from tests.fakes import Fleet

NORTH = 'north-1-a'
LENDER = 'south-1-b'
NEIGHBOUR = 'south-1-a'
UPSTREAM = 'read-south-1-0'


def ask(fleet, slots=1):
    """Ask the lender for slots, as a VM of another zone does."""
    asked = GrantsRequested(1, NORTH, 'north-1', 'read', slots)
    for effect in fleet.vms[LENDER].core.handle(asked):
        if isinstance(effect, LendGrants):
            return effect.grants
    return None


def fill(fleet, vm, count=8):
    """Keep an entry VM busy, with credit for retries."""
    for _ in range(60):
        fleet.arrive(vm, 'read')
        for attempt in list(fleet.attempts):
            fleet.answer(attempt)
    for _ in range(count):
        fleet.arrive(vm, 'read')


def running(fleet, vm, upstream=UPSTREAM):
    """Return the attempts of an entry VM at an upstream."""
    return sum(
        (each.vm, each.upstream) == (vm, upstream) for each in fleet.attempts
    )


def owned(fleet, vm):
    """Return the slots of the upstream that an entry VM owns."""
    core = fleet.vms[vm].core
    return core.slots.owned(core.state.upstreams.get(UPSTREAM))


def test_slots_are_lent_when_the_neighbours_have_heard():
    """The first question makes the lender keep slots, the next gets them."""
    fleet = Fleet()
    assert not ask(fleet)
    fleet.clock.advance(20)
    fleet.exchange(LENDER, NEIGHBOUR)
    assert sum(grant.slots for grant in ask(fleet)) == 1


def test_neighbour_that_has_not_heard_may_fill_an_upstream():
    """Nothing is granted then, so nobody is promised a slot in vain."""
    fleet = Fleet()
    ask(fleet, slots=4)
    fill(fleet, NEIGHBOUR)
    assert running(fleet, NEIGHBOUR) > owned(fleet, NEIGHBOUR)
    fleet.clock.advance(20)
    fleet.exchange(LENDER, NEIGHBOUR)
    lent = [grant.upstream for grant in ask(fleet, slots=4)]
    free = 3 - running(fleet, NEIGHBOUR) - running(fleet, LENDER)
    assert lent.count(UPSTREAM) <= free


def test_neighbour_that_has_heard_keeps_to_its_share():
    """Slots that are kept are not idle slots for whoever comes first."""
    fleet = Fleet()
    ask(fleet, slots=4)
    fleet.clock.advance(20)
    fleet.exchange(LENDER, NEIGHBOUR)
    kept = fleet.vms[LENDER].core.slots.reservations.all_reserved()
    assert kept
    fill(fleet, NEIGHBOUR)
    core = fleet.vms[NEIGHBOUR].core
    for name, _ in kept:
        share = core.slots.owned(core.state.upstreams.get(name))
        borrowed = core.state.borrowed_grants.borrowed_slots(name)
        assert running(fleet, NEIGHBOUR, name) <= share + borrowed


def test_offers_end_when_nobody_asks():
    """Kept slots return to the zone after two seconds without a question."""
    clock = ManualClock()
    book = SlotReservations(clock)
    assert book.reserve('u', 2)
    assert not book.reserve('u', 1)
    clock.advance(10)
    book.record_acknowledgement('b', clock.now_ms())
    assert book.acknowledged_slots('u', {'b'}) == 2
    assert book.acknowledged_slots('u', {'b', 'c'}) == 2
    clock.advance(2000)
    assert book.reserved_slots('u') == 0
    assert book.acknowledged_slots('u', {'b'}) == 0


def test_more_slots_wait_for_the_neighbours_again():
    """What was confirmed before stays so while more is being announced."""
    clock = ManualClock()
    book = SlotReservations(clock)
    book.reserve('u', 1)
    clock.advance(10)
    book.record_acknowledgement('b', clock.now_ms())
    assert book.acknowledged_slots('u', {'b'}) == 1
    assert book.reserve('u', 3)
    assert book.acknowledged_slots('u', {'b'}) == 1
    book.record_acknowledgement('b', clock.now_ms())
    assert book.acknowledged_slots('u', {'b'}) == 1
    clock.advance(10)
    book.record_acknowledgement('b', clock.now_ms())
    assert book.acknowledged_slots('u', {'b'}) == 3
