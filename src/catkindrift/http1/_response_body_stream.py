"""Stream of the remaining body of an upstream's response."""

from collections.abc import Callable
from typing import Self, final

import attrs

from catkindrift.errors import BrokenAnswerError
from catkindrift.http1._receiver import ResponseReceiver


@final
@attrs.define(eq=False, repr=False)
class ResponseBodyStream:
    """Iterates over the remaining chunks of a body as they arrive.

    It is not an async generator: closing a generator that was never started
    runs none of its code, so the upstream would go on with the request.

    Args:
        receiver: Receives the response.
        on_end: Called once, with whether the response is complete.
    """

    _receiver: ResponseReceiver
    _on_end: Callable[[bool], None]
    _has_ended: bool = attrs.field(init=False, default=False)

    def __aiter__(self) -> Self:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Raises:
            BrokenAnswerError: The response ended early.
        """
        chunk = await self._receiver.read_chunk()
        if self._receiver.failure:
            self._end(is_whole=False)
            raise BrokenAnswerError('the response of the upstream ended early')
        if not chunk:
            self._end(is_whole=True)
            raise StopAsyncIteration
        return chunk

    def close(self) -> None:
        """Stop the response, unless it has ended."""
        self._end(is_whole=False)

    def _end(self, *, is_whole: bool) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_end(is_whole)
