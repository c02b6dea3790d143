"""How an attempt at an upstream ended."""

import enum
from typing import final

import attrs


@final
class NotStartedReason(enum.StrEnum):
    """Why an attempt surely did not run."""

    NOT_CONNECTED = 'not_connected'
    REFUSED_BY_UPSTREAM = 'refused_by_upstream'


@final
class InterruptedReason(enum.StrEnum):
    """Why nobody knows whether an attempt ran."""

    RESET = 'reset'
    TIMEOUT = 'timeout'
    INCOMPLETE = 'incomplete'


@final
@attrs.frozen
class RecordedAnswer:
    """A complete answer that is small enough to be kept.

    Args:
        status: HTTP status.
        content_type: Value of the Content-Type header.
        body_base64: Body in base 64.
    """

    status: int
    content_type: str
    body_base64: str


@final
@attrs.frozen
class Answered:
    """The upstream gave a complete answer.

    Args:
        status: HTTP status.
        latency_ms: Time to the first answer byte.
        is_leaving: The upstream said that it is leaving.
        busy_slots: Slots in use as the upstream reports them.
        recorded: The answer, kept for requests that must not be repeated.
    """

    status: int
    latency_ms: float
    is_leaving: bool = False
    busy_slots: int = 0
    recorded: RecordedAnswer | None = None


@final
@attrs.frozen
class NotStarted:
    """The request surely did not run.

    Args:
        reason: How that is known.
        can_resend: The whole request is still at hand.
        is_leaving: The upstream said that it is leaving.
    """

    reason: NotStartedReason
    can_resend: bool
    is_leaving: bool = False


@final
@attrs.frozen
class Interrupted:
    """The request may have run.

    Args:
        reason: What was seen.
        can_resend: The whole request is still at hand, and the caller has
            not seen a byte of an answer.
    """

    reason: InterruptedReason
    can_resend: bool


@final
@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection before the answer was complete."""


@final
@attrs.frozen
class BodyTooLarge:
    """The body proved larger than allowed while it was passed on."""


AttemptResult = (
    Answered | NotStarted | Interrupted | CallerDisconnected | BodyTooLarge
)
