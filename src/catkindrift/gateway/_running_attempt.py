"""An attempt in flight at an upstream."""

from typing import final

import attrs

from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.http1 import Exchange
from catkindrift.steering import Upstream, UpstreamState


@final
@attrs.frozen(eq=False)
class RunningAttempt:
    """An attempt and its connection to an upstream.

    Args:
        pending: The request.
        state: State of the upstream.
        upstream: The incarnation that it was sent to.
        exchange: The request and its response on one connection.
        began_ms: When the attempt was sent.
    """

    pending: PendingRequest
    state: UpstreamState
    upstream: Upstream
    exchange: Exchange
    began_ms: int

    def abort(self) -> None:
        """Close the connection, so that the upstream stops its work."""
        self.exchange.connection.abort()
