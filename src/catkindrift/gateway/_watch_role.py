"""Role of this VM in the watch of one kind."""

from typing import final

import attrs


@final
@attrs.frozen
class WatchRole:
    """Whom this VM polls for changes of a kind, and for how long.

    Args:
        is_sentinel: Whether it polls the store at short intervals for all
            VMs.
        standby_rank: Order in which it takes the place of the sentinel; None
            if others do.
        is_shared: Whether the zone has a zone watcher, the VM that polls the
            store for its whole zone.
        zone_watcher: Peer address of the zone watcher; empty to poll the
            store.
        deputy: Peer address of the VM to poll if the zone watcher can't
            serve; empty to poll the store then.
    """

    is_sentinel: bool = False
    standby_rank: int | None = None
    is_shared: bool = False
    zone_watcher: str = ''
    deputy: str = ''
