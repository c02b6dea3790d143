"""One attempt that an upstream has been sent."""

from typing import final

import attrs

from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.http1 import Exchange
from catkindrift.steering import UpstreamState


@final
@attrs.frozen(eq=False)
class RunningAttempt:
    """What belongs to one attempt.

    Args:
        pending: The request.
        state: What is known of the upstream.
        exchange: The request and its response on one connection.
        began_ms: When it was sent.
    """

    pending: PendingRequest
    state: UpstreamState
    exchange: Exchange
    began_ms: int

    def abort(self) -> None:
        """Close the connection, so that the upstream stops."""
        self.exchange.connection.abort()
