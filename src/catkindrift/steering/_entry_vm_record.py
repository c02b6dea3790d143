"""What an entry VM tells the others by way of the platform's store."""

from typing import final

import attrs

from catkindrift.blame import Cleared, Crash


@final
@attrs.frozen
class EntryVmRecord:
    """Address of an entry VM, and the crashes that it knows of.

    Args:
        peers: Address for other entry VMs, ``IP:port``; '' if malformed.
        crashes: Confirmed crashes of upstreams.
        cleared: Responses to suspect requests.
        written_ms: Unix time of writing, from which the ages count.
    """

    peers: str = ''
    crashes: tuple[Crash, ...] = ()
    cleared: tuple[Cleared, ...] = ()
    written_ms: int = 0

    def aged(self, by_ms: int) -> 'EntryVmRecord':
        """Return the record with all ages increased."""
        return attrs.evolve(
            self,
            crashes=tuple(
                attrs.evolve(each, age_ms=each.age_ms + by_ms)
                for each in self.crashes
            ),
            cleared=tuple(
                attrs.evolve(each, age_ms=each.age_ms + by_ms)
                for each in self.cleared
            ),
        )
