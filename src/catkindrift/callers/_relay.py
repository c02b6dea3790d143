"""Passes the rest of an upstream's response on to the caller."""

import asyncio
import base64
from collections.abc import Callable
from typing import Self, final

import attrs

from catkindrift.callers._open_response import OpenResponse
from catkindrift.clock import Clock
from catkindrift.errors import BrokenAnswerError
from catkindrift.http1 import ResponseRest, find_header
from catkindrift.retries import (
    AttemptResult,
    CallerDisconnected,
    Interrupted,
    InterruptedReason,
    RecordedAnswer,
)

# Larger answers are not kept for repetitions of a request.
_MAX_RECORDED_BYTES = 65_536
_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False)
class Relay:
    """Iterates over a response and reports how the attempt ended.

    Args:
        clock: Source of time.
        response: The response.
        deadline_ms: Time by which it must be through.
        keeps_answer: A small answer has to be part of the result.
        on_end: Called once with the result.
    """

    _clock: Clock
    _response: OpenResponse
    _deadline_ms: int
    _records_response: bool
    _on_end: Callable[[AttemptResult], None]
    _rest: ResponseRest = attrs.field(init=False)
    _recorded_body: bytes | None = attrs.field(init=False, default=b'')
    _attempt_result: AttemptResult = attrs.field(
        init=False, factory=CallerDisconnected
    )

    def __attrs_post_init__(self) -> None:
        """Begin where the head ended."""
        receiver = self._response.exchange.receiver
        self._rest = ResponseRest(receiver, self._report_result)

    def __aiter__(self) -> Self:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next part.

        Raises:
            BrokenAnswerError: The rest will not come, or comes too late.
        """
        left_ms = self._deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(left_ms / _MILLISECONDS_PER_SECOND):
                part = await anext(self._rest)
        except TimeoutError as late:
            self._attempt_result = Interrupted(
                InterruptedReason.TIMEOUT, can_resend=False
            )
            self.close()
            raise BrokenAnswerError('the deadline has passed') from late
        self._record(part)
        return part

    def take_body(self) -> bytes:
        """Return the body of a response that has come whole."""
        body = self._response.exchange.receiver.take()
        self._record(body)
        self._report_result(is_whole=True)
        return body

    def close(self) -> None:
        """End a response that the caller did not take to its end."""
        self._rest.close()

    def _record(self, part: bytes) -> None:
        if not self._records_response or self._recorded_body is None:
            return
        self._recorded_body += part
        if len(self._recorded_body) > _MAX_RECORDED_BYTES:
            self._recorded_body = None

    def _report_result(self, is_whole: bool) -> None:
        if is_whole:
            self._attempt_result = self._response.to_attempt_result(
                self._recorded_answer()
            )
        elif self._response.exchange.receiver.failure:
            self._attempt_result = Interrupted(
                InterruptedReason.INCOMPLETE, can_resend=False
            )
        self._on_end(self._attempt_result)

    def _recorded_answer(self) -> RecordedAnswer | None:
        if not self._records_response or self._recorded_body is None:
            return None
        head = self._response.head
        media_type = find_header(head.headers, b'content-type')
        return RecordedAnswer(
            head.status,
            media_type.decode('latin-1'),
            base64.b64encode(self._recorded_body).decode(),
        )
