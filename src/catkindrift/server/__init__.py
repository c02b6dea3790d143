"""Entry VMs with the HTTP and gRPC interfaces of catkindrift."""

from catkindrift.server._entry_vm import EntryVm

__all__ = ['EntryVm']
