"""Isolated placement of requests that are suspected of crashing upstreams."""

from collections.abc import Callable
from typing import final

import attrs
import xxhash

from catkindrift.blame import Verdict
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.steering import (
    Members,
    NotPlaced,
    NotPlacedReason,
    Placed,
    Placement,
    PlacementRequest,
    Upstream,
    UpstreamRegistry,
)

# The same request would crash upstreams again, so an early retry is useless;
# the caller's next attempt may be a different request.
_QUARANTINED_RETRY_MS = 10_000.0
# By then the other attempt of the same request has probably ended.
_RUNNING_RETRY_MS = 400.0


@final
@attrs.define(eq=False, repr=False)
class SuspectIsolation:
    """Isolates suspects, so that the next crash shows which one caused it.

    This VM runs no two suspects on one upstream, nor one suspect twice at a
    time. Upstreams are partitioned among the entry VMs by hash, and each VM
    prefers its own partition for suspects, so that suspects of two VMs rarely
    share an upstream.

    Args:
        placement: Chooses upstreams.
        crashes: Suspects and the requests that run at upstreams.
        registry: All upstreams.
        members: Entry VMs.
        own_name: Name of this entry VM.
    """

    _placement: Placement
    _crashes: CrashWatch
    _registry: UpstreamRegistry
    _members: Members
    _own_name: str

    def verdict(self, fingerprint: str) -> Verdict:
        """Return what is known against a request."""
        return self._crashes.reports.verdict(fingerprint)

    def choose(
        self,
        request: PlacementRequest,
        fingerprint: str,
    ) -> Placed | NotPlaced:
        """Return the best upstream for a request, or why there is none.

        Args:
            request: Constraints on the choice.
            fingerprint: Fingerprint of the request.
        """
        if not self._crashes.is_suspect(fingerprint):
            return self._placement.choose(request)
        if self._crashes.is_quarantined(fingerprint):
            return NotPlaced(NotPlacedReason.QUARANTINED, _QUARANTINED_RETRY_MS)
        if self._crashes.running.is_assigned(fingerprint):
            return NotPlaced(NotPlacedReason.SUSPECT_RUNS, _RUNNING_RETRY_MS)
        service = request.service
        excluded = (
            request.excluded
            | self._upstreams_running_suspects(service)
            | self._upstreams_where(service, self._crashes.has_ended)
        )
        in_doubt = self._upstreams_where(service, self._crashes.is_in_doubt)
        of_others = self._upstreams_of_other_vms(service)
        for avoided in (in_doubt | of_others, in_doubt):
            choice = self._placement.choose(
                attrs.evolve(
                    request, key=fingerprint, excluded=excluded | avoided
                )
            )
            if isinstance(choice, Placed):
                return choice
        return self._placement.choose(
            attrs.evolve(request, key=fingerprint, excluded=excluded)
        )

    def _upstreams_running_suspects(self, service: str) -> frozenset[str]:
        """Return the ids of upstreams that run a suspect for this VM."""
        running = self._crashes.running
        is_suspect = self._crashes.is_suspect
        busy = running.busy_upstreams()
        return frozenset(
            state.upstream.id
            for state in self._registry.of_service(service)
            if state.upstream.incarnation in busy
            and any(
                map(is_suspect, running.assigned_at(state.upstream.incarnation))
            )
        )

    def _upstreams_where(
        self, service: str, holds: Callable[[Upstream], bool]
    ) -> frozenset[str]:
        """Return the ids of upstreams that may have restarted under their id.

        A crash of the successor would be taken for that of the incarnation
        which is known.

        Args:
            service: Name of the service.
            holds: What must hold for the known incarnation.
        """
        return frozenset(
            state.upstream.id
            for state in self._registry.of_service(service)
            if state.upstream.born_ms and holds(state.upstream)
        )

    def _upstreams_of_other_vms(self, service: str) -> frozenset[str]:
        alive = [member.name for member in self._members.alive()]
        names = sorted({self._own_name, *alive})
        own_index = names.index(self._own_name)
        return frozenset(
            state.upstream.id
            for state in self._registry.of_service(service)
            if _upstream_hash(state.upstream.id) % len(names) != own_index
        )


def _upstream_hash(upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(upstream_id.encode())
