"""Selection of an upstream for one attempt."""

from collections.abc import Container, Iterable
from typing import final

import attrs

from catkindrift.domain import Measure
from catkindrift.routing._candidate import Candidate

# Added to the expected response time when no idle connection is open.
_CONNECT_COST_MS = 1.0


@final
@attrs.frozen
class Chooser:
    """Selects the nearest healthy upstream with a free slot.

    For `Measure.LATENCY`, upstreams at the same distance are ranked by
    expected response time. For `Measure.DRAIN_TIME`, upstreams that a
    proposed plan would drain rank last, before distance is considered, and
    then the least loaded ranks first: long requests are spread out, so each
    VM has few to finish when it is drained. The load that an upstream
    reports about itself only breaks ties.

    Args:
        measure: Objective to optimize for.
    """

    measure: Measure

    def choose(
        self,
        candidates: Iterable[Candidate],
        now_ms: int,
        excluded: Container[str] = (),
        *,
        may_exceed_share: bool = False,
    ) -> Candidate | None:
        """Return the best candidate, or None when none has a free slot.

        Args:
            candidates: Upstreams of the service, with their usable slots.
            now_ms: Current monotonic time.
            excluded: Names of upstreams that must not be tried again.
            may_exceed_share: Whether to fall back to idle slots of other
                entry VMs of the zone when no owned or borrowed slot is free.
        """
        healthy = [
            candidate
            for candidate in candidates
            if candidate.upstream.vm.name not in excluded
            and not candidate.upstream.is_leaving(now_ms)
            and not candidate.upstream.is_ejected(now_ms)
        ]
        usable = [each for each in healthy if each.free_slots > 0]
        if may_exceed_share and not usable:
            usable = [
                each for each in healthy if each.free_slots_beyond_share > 0
            ]
        return min(usable, key=self._rank, default=None)

    def _rank(self, candidate: Candidate) -> tuple[float, ...]:
        upstream = candidate.upstream
        load = upstream.in_flight / max(candidate.slots, 1)
        expected_ms = upstream.latency_ms * (1 + load)
        if not upstream.idle_connections:
            expected_ms += _CONNECT_COST_MS
        match self.measure:
            case Measure.LATENCY:
                return (
                    candidate.distance,
                    expected_ms,
                    load,
                    upstream.reported_busy_slots,
                )
            case Measure.DRAIN_TIME:
                return (
                    candidate.is_drain_planned,
                    candidate.distance,
                    load,
                    expected_ms,
                    upstream.reported_busy_slots,
                )
