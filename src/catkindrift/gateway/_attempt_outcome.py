"""Outcomes of one attempt at one upstream."""

from typing import final

import attrs

from catkindrift.http1 import Response, ResponseFailure


@final
@attrs.frozen
class Answered:
    """The upstream sent a valid response, which can be forwarded.

    Args:
        response: The response for the caller.
        is_failure: Whether it is a server error (5xx), which another upstream
            may not return.
    """

    response: Response
    is_failure: bool

    @property
    def name(self) -> str:
        """Return the outcome as the request log states it."""
        return f'status {self.response.status}'


@final
@attrs.frozen
class NotRun:
    """The attempt certainly did not run the request, so it is safe to retry.

    Args:
        has_reached_upstream: Whether the upstream received the request and
            refused it; False if it was not sent.
    """

    has_reached_upstream: bool

    @property
    def name(self) -> str:
        """Return the outcome as the request log states it."""
        return 'refused' if self.has_reached_upstream else 'no connection'


@final
@attrs.frozen
class OutcomeUnknown:
    """The response failed; the upstream may or may not have run the request.

    Args:
        failure: How the response failed.
    """

    failure: ResponseFailure

    @property
    def name(self) -> str:
        """Return the outcome as the request log states it."""
        return self.failure.value


AttemptOutcome = Answered | NotRun | OutcomeUnknown
