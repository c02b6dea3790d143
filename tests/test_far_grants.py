"""Grants to other availability zones, and reservations that back them.

An entry VM may use idle slots of its zone peers. So slots are lent to another
zone only after every zone peer knows that they are reserved; otherwise a
granted slot could be in use already and the upstream overloaded.
"""

from catkindrift.clock import ManualClock
from catkindrift.core import GrantsRequested, LendGrants
from catkindrift.limits import SlotReservations
from tests.fakes import Fleet

NORTH = 'north-1-a'
LENDER = 'south-1-b'
ZONE_PEER = 'south-1-a'
UPSTREAM = 'read-south-1-0'


def request_slots(fleet, slots=1):
    """Request slots from the lender as an entry VM of another zone."""
    event = GrantsRequested(1, NORTH, 'north-1', 'read', slots)
    for effect in fleet.vms[LENDER].core.handle(event):
        if isinstance(effect, LendGrants):
            return effect.grants
    return None


def saturate(fleet, vm, count=8):
    """Send requests to an entry VM that has retry credit.

    The credit lets it use idle slots beyond its share.
    """
    for _ in range(60):
        fleet.send_request(vm, 'read')
        for attempt in list(fleet.attempts):
            fleet.complete(attempt)
    for _ in range(count):
        fleet.send_request(vm, 'read')


def count_in_flight(fleet, vm, upstream=UPSTREAM):
    """Return the number of attempts of an entry VM at an upstream."""
    return sum(
        (each.vm, each.upstream) == (vm, upstream) for each in fleet.attempts
    )


def count_owned(fleet, vm):
    """Return the number of slots of the upstream that an entry VM owns."""
    core = fleet.vms[vm].core
    return core.slots.owned(core.state.upstreams.get(UPSTREAM))


def test_slots_are_lent_after_zone_peers_acknowledge():
    """The first request only reserves slots, a later one is granted them.

    Lending before the zone peer has acknowledged the reservation could grant
    slots that it is using.
    """
    fleet = Fleet()
    assert not request_slots(fleet)
    fleet.clock.advance(20)
    fleet.exchange(LENDER, ZONE_PEER)
    assert sum(grant.slots for grant in request_slots(fleet)) == 1


def test_slots_in_use_by_an_uninformed_zone_peer_are_not_lent():
    """A zone peer without the reservation may use slots beyond its share.

    A grant for these slots would exceed what the upstream runs at a time.
    """
    fleet = Fleet()
    request_slots(fleet, slots=4)
    saturate(fleet, ZONE_PEER)
    assert count_in_flight(fleet, ZONE_PEER) > count_owned(fleet, ZONE_PEER)
    fleet.clock.advance(20)
    fleet.exchange(LENDER, ZONE_PEER)
    lent = [grant.upstream for grant in request_slots(fleet, slots=4)]
    free = (
        3 - count_in_flight(fleet, ZONE_PEER) - count_in_flight(fleet, LENDER)
    )
    assert lent.count(UPSTREAM) <= free


def test_informed_zone_peer_stays_within_its_share():
    """A zone peer that knows of a reservation doesn't use reserved slots.

    If it treated them as idle, requests from the other zone would find the
    granted slots taken.
    """
    fleet = Fleet()
    request_slots(fleet, slots=4)
    fleet.clock.advance(20)
    fleet.exchange(LENDER, ZONE_PEER)
    reserved = fleet.vms[LENDER].core.slots.reservations.all_reserved()
    assert reserved
    saturate(fleet, ZONE_PEER)
    core = fleet.vms[ZONE_PEER].core
    for name, _ in reserved:
        share = core.slots.owned(core.state.upstreams.get(name))
        borrowed = core.state.borrowed_grants.borrowed_slots(name)
        assert count_in_flight(fleet, ZONE_PEER, name) <= share + borrowed


def test_reservation_expires_without_requests():
    """A reservation that is not renewed ends after two seconds.

    Otherwise its slots would stay unavailable to the zone.
    """
    clock = ManualClock()
    reservations = SlotReservations(clock)
    assert reservations.reserve('u', 2)
    assert not reservations.reserve('u', 1)
    clock.advance(10)
    reservations.record_acknowledgement('b', clock.now_ms())
    assert reservations.acknowledged_slots('u', {'b'}) == 2
    assert reservations.acknowledged_slots('u', {'b', 'c'}) == 2
    clock.advance(2000)
    assert reservations.reserved_slots('u') == 0
    assert reservations.acknowledged_slots('u', {'b'}) == 0


def test_enlarged_reservation_needs_new_acknowledgements():
    """Only the earlier slots count until peers acknowledge the larger number.

    An acknowledgement of a record sent no later than the reservation was
    enlarged must not count.
    """
    clock = ManualClock()
    reservations = SlotReservations(clock)
    reservations.reserve('u', 1)
    clock.advance(10)
    reservations.record_acknowledgement('b', clock.now_ms())
    assert reservations.acknowledged_slots('u', {'b'}) == 1
    assert reservations.reserve('u', 3)
    assert reservations.acknowledged_slots('u', {'b'}) == 1
    reservations.record_acknowledgement('b', clock.now_ms())
    assert reservations.acknowledged_slots('u', {'b'}) == 1
    clock.advance(10)
    reservations.record_acknowledgement('b', clock.now_ms())
    assert reservations.acknowledged_slots('u', {'b'}) == 3
