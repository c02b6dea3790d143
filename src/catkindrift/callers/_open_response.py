"""A response whose head has arrived."""

from typing import final

import attrs

from catkindrift.callers._upstream_headers import busy_slots, reports_leaving
from catkindrift.http1 import Exchange, ResponseHead
from catkindrift.retries import Answered, RecordedAnswer


@final
@attrs.frozen(eq=False)
class OpenResponse:
    """A response that may be passed on; its body is still to come.

    Args:
        upstream: Name of the upstream.
        exchange: Where the body comes from.
        head: Status and headers.
        latency_ms: Time from the start of the attempt to the head.
    """

    upstream: str
    exchange: Exchange
    head: ResponseHead
    latency_ms: int

    def to_attempt_result(self, recorded: RecordedAnswer | None) -> Answered:
        """Return the result of the attempt, when all has come.

        Args:
            recorded: The answer, where it has to be kept.
        """
        return Answered(
            self.head.status,
            self.latency_ms,
            reports_leaving(self.head),
            busy_slots(self.head),
            recorded,
        )
