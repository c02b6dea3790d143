"""Client of the platform's object store, with an in-memory server."""

from catkindrift.store._call_gate import CallGate
from catkindrift.store._guarded import GuardedPlatform
from catkindrift.store._http import HttpPlatform
from catkindrift.store._in_memory_store import InMemoryStore
from catkindrift.store._in_memory_store_app import InMemoryStoreApp
from catkindrift.store._injected_faults import InjectedFaults
from catkindrift.store._interface import Platform
from catkindrift.store._object import StoredObject

__all__ = [
    'CallGate',
    'GuardedPlatform',
    'HttpPlatform',
    'InMemoryStore',
    'InMemoryStoreApp',
    'InjectedFaults',
    'Platform',
    'StoredObject',
]
