"""A response whose head has arrived."""

from typing import final

import attrs

from catkindrift.callers._upstream_headers import busy_slots, reports_leaving
from catkindrift.http1 import Exchange, ResponseHead
from catkindrift.retries import Answered, RecordedAnswer


@final
@attrs.frozen(eq=False)
class OpenResponse:
    """A response that may be forwarded; its body may still be arriving.

    Args:
        upstream: Connection key of the upstream.
        exchange: Exchange that receives the body.
        head: Status and headers.
        latency_ms: Time from the start of the attempt to the head.
    """

    upstream: str
    exchange: Exchange
    head: ResponseHead
    latency_ms: int

    def to_attempt_result(self, recorded: RecordedAnswer | None) -> Answered:
        """Return the result of the attempt once the body is complete.

        Args:
            recorded: The response if it must be recorded, otherwise None.
        """
        return Answered(
            self.head.status,
            self.latency_ms,
            reports_leaving(self.head),
            busy_slots(self.head),
            recorded,
        )
