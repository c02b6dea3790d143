"""Choice of an upstream for one attempt."""

from collections.abc import Container, Iterable
from typing import final

import attrs

from catkindrift.domain import Measure
from catkindrift.routing._candidate import Candidate

_CONNECTION_COST_MS = 1.0


@final
@attrs.frozen
class Chooser:
    """Picks the nearest healthy upstream that has a free slot.

    Among upstreams of one distance, a service that weighs latency takes the
    one with the lowest expected answer time. A service that weighs drain time
    avoids upstreams that a proposed plan would drain and spreads its long
    requests, so that each VM has little to finish when it must leave. The
    load that an upstream reports only decides between equals.

    Args:
        measure: What the service weighs most.
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
        """Return the best candidate, or nothing when none has room.

        Args:
            candidates: Upstreams with the slots that may be used.
            now_ms: Current time.
            excluded: Upstreams that must not be tried again.
            may_exceed_share: When no own slot is free, try one of the same
                zone that its owner seems not to use.
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
            expected_ms += _CONNECTION_COST_MS
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
