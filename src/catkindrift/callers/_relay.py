"""Relays the body of an upstream's response to the caller."""

import base64
from collections.abc import Callable
from typing import Self, final

import attrs

from catkindrift.callers._open_response import OpenResponse
from catkindrift.callers._time_limits import TimeLimits
from catkindrift.errors import BrokenAnswerError
from catkindrift.http1 import ResponseBodyStream, find_header
from catkindrift.retries import (
    AttemptResult,
    CallerDisconnected,
    Interrupted,
    InterruptedReason,
    RecordedAnswer,
)

# Larger responses are not recorded for repeats of a request.
_MAX_RECORDED_BYTES = 65_536


@final
@attrs.define(eq=False, repr=False)
class Relay:
    """Iterates over the body and reports the result of the attempt.

    Args:
        limits: Time limits of the requests in progress.
        response: Response with its head received.
        deadline_ms: Time by which the body must be complete.
        records_response: Whether to include a small response in the result.
        on_end: Called once with the result of the attempt.
    """

    _limits: TimeLimits
    _response: OpenResponse
    _deadline_ms: int
    _records_response: bool
    _on_end: Callable[[AttemptResult], None]
    _body_stream: ResponseBodyStream = attrs.field(init=False)
    _recorded_body: bytes | None = attrs.field(init=False, default=b'')
    _attempt_result: AttemptResult = attrs.field(
        init=False, factory=CallerDisconnected
    )

    def __attrs_post_init__(self) -> None:
        """Create the iterator over the body."""
        receiver = self._response.exchange.receiver
        self._body_stream = ResponseBodyStream(receiver, self._report_result)

    def __aiter__(self) -> Self:
        """Return this iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk of the body.

        Raises:
            BrokenAnswerError: The rest of the body is lost or misses the
                deadline.
        """
        try:
            async with self._limits.enforce(self._deadline_ms):
                chunk = await anext(self._body_stream)
        except TimeoutError as error:
            self._attempt_result = Interrupted(
                InterruptedReason.TIMEOUT, can_resend=False
            )
            self.close()
            raise BrokenAnswerError(
                'the response missed the deadline'
            ) from error
        self._record(chunk)
        return chunk

    def take_body(self) -> bytes:
        """Return the body of a response that is already complete."""
        body = self._response.exchange.receiver.take_buffered()
        self._record(body)
        self._report_result(is_whole=True)
        return body

    def close(self) -> None:
        """Abort a response that the caller did not read to its end."""
        self._body_stream.close()

    def _record(self, chunk: bytes) -> None:
        if not self._records_response or self._recorded_body is None:
            return
        self._recorded_body += chunk
        if len(self._recorded_body) > _MAX_RECORDED_BYTES:
            self._recorded_body = None

    def _report_result(self, is_whole: bool) -> None:
        if is_whole:
            self._attempt_result = self._response.to_attempt_result(
                self._recorded_response()
            )
        elif self._response.exchange.receiver.failure:
            self._attempt_result = Interrupted(
                InterruptedReason.INCOMPLETE, can_resend=False
            )
        self._on_end(self._attempt_result)

    def _recorded_response(self) -> RecordedAnswer | None:
        if not self._records_response or self._recorded_body is None:
            return None
        head = self._response.head
        media_type = find_header(head.headers, b'content-type')
        return RecordedAnswer(
            head.status,
            media_type.decode('latin-1'),
            base64.b64encode(self._recorded_body).decode(),
        )
