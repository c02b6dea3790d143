"""Passes the rest of an upstream's response on to the caller."""

import asyncio
import base64
from collections.abc import Callable
from typing import Self, final

import attrs

from catkindrift.callers._open_response import OpenResponse
from catkindrift.clock import Clock
from catkindrift.errors import BrokenAnswerError
from catkindrift.http1 import ResponseBodyStream, find_header
from catkindrift.retries import (
    AttemptResult,
    CallerDisconnected,
    Interrupted,
    InterruptedReason,
    RecordedAnswer,
)

# Larger answers are not kept for repetitions of a request.
_RECORDED_BYTES = 65_536
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
    _keeps_answer: bool
    _on_end: Callable[[AttemptResult], None]
    _rest: ResponseBodyStream = attrs.field(init=False)
    _kept: bytes | None = attrs.field(init=False, default=b'')
    _ended_as: AttemptResult = attrs.field(
        init=False, factory=CallerDisconnected
    )

    def __attrs_post_init__(self) -> None:
        """Begin where the head ended."""
        receiver = self._response.exchange.receiver
        self._rest = ResponseBodyStream(receiver, self._ended)

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
            self._ended_as = Interrupted(
                InterruptedReason.TIMEOUT, can_resend=False
            )
            self.close()
            raise BrokenAnswerError('the deadline has passed') from late
        self._keep(part)
        return part

    def take_whole(self) -> bytes:
        """Return the body of a response that has come whole."""
        body = self._response.exchange.receiver.take_buffered()
        self._keep(body)
        self._ended(is_whole=True)
        return body

    def close(self) -> None:
        """End a response that the caller did not take to its end."""
        self._rest.close()

    def _keep(self, part: bytes) -> None:
        if not self._keeps_answer or self._kept is None:
            return
        self._kept += part
        if len(self._kept) > _RECORDED_BYTES:
            self._kept = None

    def _ended(self, is_whole: bool) -> None:
        if is_whole:
            self._ended_as = self._response.answered(self._recorded())
        elif self._response.exchange.receiver.failure:
            self._ended_as = Interrupted(
                InterruptedReason.INCOMPLETE, can_resend=False
            )
        self._on_end(self._ended_as)

    def _recorded(self) -> RecordedAnswer | None:
        if not self._keeps_answer or self._kept is None:
            return None
        head = self._response.head
        media_type = find_header(head.headers, b'content-type')
        return RecordedAnswer(
            head.status,
            media_type.decode('latin-1'),
            base64.b64encode(self._kept).decode(),
        )
