"""Signs of life of many entry VMs in few bytes."""

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple, final

from catkindrift.steering._heartbeat import MemberFacts

# Hash of the process in 48 bits, sequence and two flags in 16, age in 8. Two
# of 7,300 VMs share a hash of 48 bits with a probability of 1 in 10 million.
_ENTRY = struct.Struct('>HIHB')
_LOW_BITS = 32
_KEY_BITS = 48
_KEY_MASK = (1 << _KEY_BITS) - 1
_LOW_MASK = (1 << _LOW_BITS) - 1
_SEQUENCE_SHIFT = 2
# A VM sends at most 12 heartbeats a second and is forgotten after 120 s: its
# sequence numbers differ from the known one by less than half of this range.
_SEQUENCE_BITS = 14
_SEQUENCE_RANGE = 1 << _SEQUENCE_BITS
_READY_FLAG = 2
_REACHES_FLAG = 1
# Unit of an age in milliseconds; the largest is beyond the age up to which a
# VM counts as alive, 5000 ms.
_AGE_UNIT_MS = 20
_MAX_AGE_UNITS = 255


@final
class PackedSign(NamedTuple):
    """Sign of life of one entry VM.

    Args:
        process: Low 48 bits of the hash of the VM's process.
        sequence: Number of its newest heartbeat, modulo 16,384.
        is_ready: Whether callers may be sent to it.
        reaches_upstreams: Whether it is not cut off from all upstreams.
        age_ms: Time since it has sent that heartbeat, rounded up.
    """

    process: int
    sequence: int
    is_ready: bool
    reaches_upstreams: bool
    age_ms: int

    def newer_facts(self, known: MemberFacts) -> MemberFacts | None:
        """Return the facts with this news, None if it brings none.

        Args:
            known: Facts about the same process.
        """
        ahead = (self.sequence - known.count) % _SEQUENCE_RANGE
        if not 0 < ahead < _SEQUENCE_RANGE // 2:
            return None
        return MemberFacts(
            known.name,
            known.started_ms,
            known.zone,
            known.region,
            known.callers,
            known.peers,
            self.is_ready,
            known.count + ahead,
            self.reaches_upstreams,
            known.by_zone,
        )


def process_key(process: int) -> int:
    """Return the part of the hash of a process that signs of life carry."""
    return process & _KEY_MASK


def pack_signs(signs: Iterable[PackedSign]) -> bytes:
    """Return the bytes of signs of life, nine each.

    Those too old to show that a VM is alive are left out.
    """
    packed = []
    for process, sequence, is_ready, reaches_upstreams, age_ms in signs:
        units = -(-age_ms // _AGE_UNIT_MS)
        if units > _MAX_AGE_UNITS:
            continue
        word = sequence % _SEQUENCE_RANGE << _SEQUENCE_SHIFT
        word += _READY_FLAG * is_ready + _REACHES_FLAG * reaches_upstreams
        high = process >> _LOW_BITS
        packed.append(
            _ENTRY.pack(high, process & _LOW_MASK, word, max(units, 0))
        )
    return b''.join(packed)


def unpack_signs(packed: bytes) -> Iterator[PackedSign]:
    """Yield signs of life; bytes after the last whole one are ignored."""
    whole = len(packed) // _ENTRY.size * _ENTRY.size
    for high, low, word, units in _ENTRY.iter_unpack(packed[:whole]):
        yield PackedSign(
            high << _LOW_BITS | low,
            word >> _SEQUENCE_SHIFT,
            bool(word & _READY_FLAG),
            bool(word & _REACHES_FLAG),
            units * _AGE_UNIT_MS,
        )
