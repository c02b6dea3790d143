"""The platform's object API: interface, adapter and stand-in."""

from catkindrift.store._call_gate import CallGate
from catkindrift.store._guarded import GuardedPlatform
from catkindrift.store._http import HttpPlatform
from catkindrift.store._interface import Platform
from catkindrift.store._object import StoredObject
from catkindrift.store._standin import StandinStore
from catkindrift.store._standin_app import StandinApp
from catkindrift.store._standin_faults import StandinFaults

__all__ = [
    'CallGate',
    'GuardedPlatform',
    'HttpPlatform',
    'Platform',
    'StandinApp',
    'StandinFaults',
    'StandinStore',
    'StoredObject',
]
