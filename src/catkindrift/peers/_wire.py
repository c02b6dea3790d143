"""Conversion between records and protobuf messages."""

from catkindrift.blame import Cleared, Crash
from catkindrift.domain import Vm, VmRole
from catkindrift.peers._record import (
    LeavingUpstream,
    PeerRecord,
    ServiceCapacity,
    UpstreamLoad,
)
from catkindrift.peers.protocol import peers_pb2


def record_to_wire(record: PeerRecord) -> peers_pb2.Record:
    """Convert a record into a protobuf message."""
    return peers_pb2.Record(
        vm=_vm_to_wire(record.vm),
        region=record.region,
        incarnation=record.incarnation,
        sequence=record.sequence,
        revision=record.revision,
        confirmed_age_ms=record.confirmed_age_ms,
        is_stopping=record.is_stopping,
        pending=record.pending,
        rooms=[
            peers_pb2.ServiceRoom(
                service=capacity.service,
                slots=capacity.slots,
                used=capacity.used,
                waiting=capacity.waiting,
            )
            for capacity in record.capacities
        ],
        loads=[
            peers_pb2.UpstreamLoad(
                upstream=load.upstream,
                in_flight=load.in_flight,
                reserved=load.reserved,
            )
            for load in record.loads
        ],
        leaving=[
            peers_pb2.LeavingFact(
                upstream=leaving.upstream, age_ms=leaving.age_ms
            )
            for leaving in record.leaving
        ],
        crashes=[
            peers_pb2.Crash(
                fingerprint=crash.fingerprint,
                upstream=crash.upstream,
                age_ms=crash.age_ms,
            )
            for crash in record.crashes
        ],
        cleared=[
            peers_pb2.Cleared(
                fingerprint=cleared.fingerprint,
                age_ms=cleared.age_ms,
            )
            for cleared in record.cleared
        ],
    )


def record_from_wire(message: peers_pb2.Record) -> PeerRecord:
    """Convert a protobuf message into a record."""
    return PeerRecord(
        vm=_vm_from_wire(message.vm),
        region=message.region,
        incarnation=message.incarnation,
        sequence=message.sequence,
        revision=message.revision,
        confirmed_age_ms=message.confirmed_age_ms,
        is_stopping=message.is_stopping,
        pending=message.pending,
        capacities=tuple(
            ServiceCapacity(
                capacity.service,
                capacity.slots,
                capacity.used,
                capacity.waiting,
            )
            for capacity in message.rooms
        ),
        loads=tuple(
            UpstreamLoad(load.upstream, load.in_flight, load.reserved)
            for load in message.loads
        ),
        leaving=tuple(
            LeavingUpstream(leaving.upstream, leaving.age_ms)
            for leaving in message.leaving
        ),
        crashes=tuple(
            Crash(crash.fingerprint, crash.upstream, crash.age_ms)
            for crash in message.crashes
        ),
        cleared=tuple(
            Cleared(cleared.fingerprint, cleared.age_ms)
            for cleared in message.cleared
        ),
    )


def _vm_to_wire(vm: Vm) -> peers_pb2.Vm:
    return peers_pb2.Vm(
        name=vm.name,
        zone=vm.zone,
        address=vm.address,
        port=vm.port,
        peer_port=vm.peer_port,
    )


def _vm_from_wire(message: peers_pb2.Vm) -> Vm:
    return Vm(
        name=message.name,
        zone=message.zone,
        role=VmRole.ENTRY,
        address=message.address,
        port=message.port,
        peer_port=message.peer_port,
    )
