"""The platform's object API: interface, adapter and stand-in."""

from catkindrift.platform._call_gate import CallGate
from catkindrift.platform._guarded import GuardedPlatform
from catkindrift.platform._http import HttpPlatform
from catkindrift.platform._interface import Platform
from catkindrift.platform._object import StoredObject
from catkindrift.platform._standin import StandinStore
from catkindrift.platform._standin_app import StandinApp
from catkindrift.platform._standin_faults import StandinFaults

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
