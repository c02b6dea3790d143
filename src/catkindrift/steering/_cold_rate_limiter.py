"""Rate limit on requests to cold upstreams, shared by all entry VMs."""

from collections import deque
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.rendezvous import rendezvous_order
from catkindrift.steering._bounds import SteeringBounds
from catkindrift.steering._service_rules import ServiceRules
from catkindrift.steering._upstream_state import UpstreamState

_WINDOW_MS = 1000
# Requests sent over more than one second can arrive within one second, since
# network delay and connects vary from request to request.
_JITTER_MS = 300
# Part of the limit that is divided among the known entry VMs. The rest covers
# an entry VM that the others don't know yet and that already sends its share.
_ALLOCATED_FRACTION = 0.85


@final
@attrs.define(eq=False, repr=False)
class ColdRateLimiter:
    """Limits this entry VM to its share of each cold upstream's rate.

    The shares are computed locally, so that placing a request needs no call
    to other entry VMs. If the limit is less than one request per entry VM,
    rendezvous hashing selects the entry VMs that may send one.

    Args:
        clock: Source of time.
        bounds: Limits on the total over all entry VMs.
        own_name: Name of this entry VM.
    """

    _clock: Clock
    bounds: SteeringBounds
    _own_name: str
    _members: tuple[str, ...] = attrs.field(init=False, default=())
    _send_times_ms: dict[str, deque[int]] = attrs.field(
        init=False, factory=dict
    )

    def update_members(self, members: tuple[str, ...]) -> None:
        """Set the names of all entry VMs that share the limit.

        Include VMs that are silent: they may still send requests. Without
        names this VM has no share.
        """
        self._members = members

    def allows(self, state: UpstreamState, rules: ServiceRules) -> bool:
        """Return whether a request may be sent to a cold upstream now."""
        sent = self._recent(state.upstream.id)
        return len(sent) < self._share(state.upstream.id, rules)

    def count_request(self, upstream_id: str) -> None:
        """Count a request to any upstream, since a warm one may become cold."""
        self._recent(upstream_id).append(self._clock.now_ms())

    def keep_only(self, upstream_ids: frozenset[str]) -> None:
        """Drop old counts of all upstreams except `upstream_ids`.

        Counts of the last second are kept: the entry may return.
        """
        for removed in self._send_times_ms.keys() - upstream_ids:
            if not self._recent(removed):
                self._send_times_ms.pop(removed)

    def _recent(self, upstream_id: str) -> deque[int]:
        sent = self._send_times_ms.setdefault(upstream_id, deque())
        oldest_ms = self._clock.now_ms() - _WINDOW_MS - _JITTER_MS
        while sent and sent[0] <= oldest_ms:
            sent.popleft()
        return sent

    def _share(self, upstream_id: str, rules: ServiceRules) -> int:
        rate = rules.cold_per_second * self.bounds.cold_overshoot
        allowance = int((rate + self.bounds.cold_slack) * _ALLOCATED_FRACTION)
        senders = len(self._members)
        if not senders:
            return 0
        if senders <= allowance:
            return allowance // senders
        chosen = rendezvous_order(upstream_id, self._members)[:allowance]
        return int(self._own_name in chosen)
