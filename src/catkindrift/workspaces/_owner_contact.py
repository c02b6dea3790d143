"""Contact of an entry VM to the owner of the quotas."""

from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.rendezvous import rendezvous_order

# A grant can be used for this time after the report that it answers. It covers
# several lost datagrams at the interval of heartbeats, and the time that
# another owner needs to take over.
LEASE_MS = 3000
# An owner that leaves reports of this time unanswered is passed over: two
# intervals of reports.
_UNANSWERED_MS = 1000
# For this time; a VM that has failed is known as such by then.
_AVOIDED_MS = 5000
# Key by which the owner is chosen among the entry VMs.
_OWNER_KEY = 'quotas'


@final
@attrs.define(eq=False, repr=False)
class OwnerContact:
    """Chooses the owner and knows for how long this VM is bound to it.

    Args:
        own_name: Name of this entry VM.
        started_ms: When the process was started. A former process may have
            reported until then, of which this one knows nothing.
        owner: Name of the owner.
        bound_until_ms: Time until which this VM leaves its share to owners.
    """

    _own_name: str
    _started_ms: int
    owner: str = attrs.field(init=False)
    bound_until_ms: int = attrs.field(init=False)
    _alive: tuple[str, ...] = attrs.field(init=False, default=())
    _number: int = attrs.field(init=False, default=0)
    _replied: int = attrs.field(init=False, default=0)
    _replied_ms: int | None = attrs.field(init=False, default=None)
    _unanswered_ms: int | None = attrs.field(init=False, default=None)
    _reported_ms: int = attrs.field(init=False)
    _other_ms: int = attrs.field(init=False)
    _avoided: dict[str, int] = attrs.field(init=False, factory=dict)
    _sent: dict[int, int] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start with this VM itself as the owner."""
        self.owner = self._own_name
        self.bound_until_ms = self._started_ms + LEASE_MS
        self._reported_ms = self._started_ms
        self._other_ms = self._started_ms

    def update(self, alive: Iterable[str]) -> None:
        """Set the names of the other entry VMs that are heard."""
        self._alive = tuple(alive)

    def next_number(self, now_ms: int) -> int:
        """Choose the owner and return the number of the next report to it."""
        unanswered_ms = self._unanswered_ms
        is_silent = (
            unanswered_ms is not None
            and now_ms - unanswered_ms >= _UNANSWERED_MS
        )
        if is_silent and self.owner != self._own_name:
            self._avoided[self.owner] = now_ms
        self._choose(now_ms)
        self._number += 1
        self._sent[self._number] = now_ms
        self._reported_ms = now_ms
        if self._unanswered_ms is None:
            self._unanswered_ms = now_ms
        return self._number

    def is_bound(self, now_ms: int) -> bool:
        """Return whether a reply of the present owner is recent."""
        replied_ms = self._replied_ms
        return replied_ms is not None and now_ms - replied_ms < LEASE_MS

    def unowned_ms(self, now_ms: int) -> int:
        """Return the time since the last report to another owner."""
        return now_ms - self._other_ms

    def record_reply(self, owner: str, number: int, now_ms: int) -> int | None:
        """Take the reply to a report.

        Returns:
            When that report was sent; None if the reply doesn't count.
        """
        sent_ms = self._sent.get(number)
        is_old = number <= self._replied or owner != self.owner
        if sent_ms is None or is_old or now_ms - sent_ms >= LEASE_MS:
            return None
        self._sent = {
            each: sent for each, sent in self._sent.items() if each > number
        }
        self._replied = number
        self._replied_ms = sent_ms
        self._unanswered_ms = min(self._sent.values(), default=None)
        self.bound_until_ms = max(self.bound_until_ms, sent_ms + LEASE_MS)
        return sent_ms

    def _choose(self, now_ms: int) -> None:
        self._avoided = {
            name: since_ms
            for name, since_ms in self._avoided.items()
            if now_ms - since_ms < _AVOIDED_MS
        }
        able = {self._own_name, *self._alive} - self._avoided.keys()
        chosen = rendezvous_order(_OWNER_KEY, able)[0]
        if chosen != self.owner:
            self._switch(chosen)

    def _switch(self, owner: str) -> None:
        self.owner = owner
        self._other_ms = self._reported_ms
        self._sent.clear()
        self._unanswered_ms = None
        self._replied_ms = None
