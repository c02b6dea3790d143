"""What becomes of one attempt at one upstream."""

from typing import final

import attrs

from catkindrift.http1 import Answer, ResponseFailure


@final
@attrs.frozen
class Answered:
    """The upstream answered; the answer can be passed on.

    Args:
        answer: The answer.
        is_failure: Whether it is a server error that another may not have.
    """

    answer: Answer
    is_failure: bool

    @property
    def name(self) -> str:
        """Return what logs call it."""
        return f'status {self.answer.status}'


@final
@attrs.frozen
class NotRun:
    """Surely no upstream started the request.

    Args:
        has_arrived: Whether an upstream got it, and refused.
    """

    has_reached_upstream: bool

    @property
    def name(self) -> str:
        """Return what logs call it."""
        return 'refused' if self.has_reached_upstream else 'no connection'


@final
@attrs.frozen
class OutcomeUnknown:
    """Nobody knows whether the request ran.

    Args:
        failure: What is wrong with the response.
    """

    failure: ResponseFailure

    @property
    def name(self) -> str:
        """Return what logs call it."""
        return self.failure.value


AttemptOutcome = Answered | NotRun | OutcomeUnknown
