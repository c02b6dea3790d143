"""Roles of this VM in the watches of its zone and of the fleet."""

from typing import final

import attrs

from catkindrift.gateway._watch_role import WatchRole
from catkindrift.rendezvous import rendezvous_order
from catkindrift.settings import VmSettings
from catkindrift.steering import Members

# Ready VMs that a zone needs for zone watchers. With fewer, they save few calls
# but delay changes by up to a second when they fail.
MIN_VMS_TO_SHARE = 6
# VMs that take the place of the sentinel of a kind, which polls the store at
# short intervals. It gets changes even when long polls stall, and its
# heartbeats reveal the stall to the others.
_STANDBY_COUNT = 2


@final
@attrs.frozen
class WatchRoles:
    """Assigns roles by hashing.

    VMs that see the same members agree without coordination.

    Args:
        members: Entry VMs among which roles are assigned.
        vm: Name and zone of this VM.
    """

    _members: Members
    _vm: VmSettings

    def rank(self, kind: str) -> int:
        """Return the rank of this VM among all that it hears."""
        alive = [each.name for each in self._members.alive()]
        own = self._vm.name
        return rendezvous_order(kind, [own, *alive]).index(own)

    def role(self, kind: str) -> WatchRole:
        """Return the role of this VM, with a zone watcher in a large zone.

        The VMs before this one in the order of the kind may serve it: the
        first is the zone watcher, the second its deputy.
        """
        vm = self._vm
        addresses = {
            each.name: each.peers
            for each in self._members.alive()
            if each.zone == vm.zone and each.is_ready
        }
        addresses[vm.name] = ''
        is_shared = len(addresses) >= MIN_VMS_TO_SHARE
        order = rendezvous_order(kind, addresses)
        before = order[: order.index(vm.name)] if is_shared else []
        servers = [addresses[name] for name in before]
        rank = self.rank(kind)
        return WatchRole(
            is_sentinel=rank == 0,
            standby_rank=rank if 0 < rank <= _STANDBY_COUNT else None,
            is_shared=is_shared,
            zone_watcher=next(iter(servers), ''),
            deputy=next(iter(servers[1:]), ''),
        )
