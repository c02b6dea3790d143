"""The part of a response that follows what was passed on first."""

from collections.abc import Callable
from typing import Self, final

import attrs

from catkindrift.errors import BrokenAnswerError
from catkindrift.http1._receiver import ResponseReceiver


@final
@attrs.define(eq=False)
class ResponseBodyStream:
    """Iterates over parts of a body as they arrive from an upstream.

    It is no generator: one that was never started would not notice that it
    is given up, and would leave the upstream at work.

    Args:
        receiver: Receives the response.
        on_end: Called once, with whether the whole response has come.
    """

    _receiver: ResponseReceiver
    _on_end: Callable[[bool], None]
    _has_ended: bool = attrs.field(init=False, default=False)

    def __aiter__(self) -> Self:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next part.

        Raises:
            BrokenAnswerError: The rest will not come.
        """
        chunk = await self._receiver.read_chunk()
        if self._receiver.failure:
            self._end(is_whole=False)
            raise BrokenAnswerError('the upstream broke off')
        if not chunk:
            self._end(is_whole=True)
            raise StopAsyncIteration
        return chunk

    def close(self) -> None:
        """Give up the rest, if there is any."""
        self._end(is_whole=False)

    def _end(self, *, is_whole: bool) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_end(is_whole)
