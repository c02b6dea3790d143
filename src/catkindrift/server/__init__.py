"""Composition of an entry VM with the product's own interface."""

from catkindrift.server._entry_vm import EntryVm

__all__ = ['EntryVm']
