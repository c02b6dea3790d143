"""Results of an attempt to run a request at an upstream."""

import enum
from typing import final

import attrs


@final
class NotStartedReason(enum.StrEnum):
    """Why an attempt is known not to have run."""

    NOT_CONNECTED = 'not_connected'
    REFUSED_BY_UPSTREAM = 'refused_by_upstream'


@final
class InterruptedReason(enum.StrEnum):
    """Why it is unknown whether an attempt ran."""

    RESET = 'reset'
    TIMEOUT = 'timeout'
    INCOMPLETE = 'incomplete'


@final
@attrs.frozen
class RecordedAnswer:
    """A complete response that is small enough to be stored.

    Args:
        status: HTTP status code.
        content_type: Value of the Content-Type header.
        body_base64: Base64-encoded body.
    """

    status: int
    content_type: str
    body_base64: str


@final
@attrs.frozen
class Answered:
    """The upstream sent a complete response.

    Args:
        status: HTTP status code.
        latency_ms: Time to the first byte of the response.
        is_leaving: Whether the upstream announced that it shuts down.
        busy_slots: Slots in use, as reported by the upstream.
        recorded: The response, stored for requests that must run only once;
            None for all others.
    """

    status: int
    latency_ms: float
    is_leaving: bool = False
    busy_slots: int = 0
    recorded: RecordedAnswer | None = None


@final
@attrs.frozen
class NotStarted:
    """The request is known not to have run.

    Args:
        reason: Why it did not run.
        can_resend: Whether the whole request is still buffered.
        is_leaving: Whether the upstream announced that it shuts down.
    """

    reason: NotStartedReason
    can_resend: bool
    is_leaving: bool = False


@final
@attrs.frozen
class Interrupted:
    """The response is missing or incomplete; the request may have run.

    Args:
        reason: How the attempt was interrupted.
        can_resend: Whether the whole request is still buffered and no byte
            of a response has been sent to the caller.
    """

    reason: InterruptedReason
    can_resend: bool


@final
@attrs.frozen
class CallerDisconnected:
    """The caller closed its connection before the response was complete."""


@final
@attrs.frozen
class BodyTooLarge:
    """The request body exceeded the size limit while it was forwarded."""


AttemptResult = (
    Answered | NotStarted | Interrupted | CallerDisconnected | BodyTooLarge
)
