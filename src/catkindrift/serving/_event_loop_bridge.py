"""Calls from server threads into the event loop."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar, final

import attrs

_Returned = TypeVar('_Returned')


@final
@attrs.define(eq=False, repr=False)
class EventLoopBridge:
    """Runs functions on the event loop for server threads.

    Only the event loop's thread may access state; other threads call in.

    Args:
        loop: The running event loop.
    """

    _loop: asyncio.AbstractEventLoop

    def call(self, function: Callable[..., _Returned], *args: Any) -> _Returned:
        """Run a function on the event loop and return its result.

        Blocks; the event loop's own thread must not call it.
        """
        future: Future[_Returned] = Future()
        self._loop.call_soon_threadsafe(
            _run_and_set_result, future, function, args
        )
        return future.result()

    def run(self, coroutine: Coroutine[Any, Any, _Returned]) -> _Returned:
        """Run a coroutine on the event loop and return its result.

        Blocks; the event loop's own thread must not call it.
        """
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result()


def _run_and_set_result(
    future: 'Future[Any]',
    function: Callable[..., Any],
    args: tuple[Any, ...],
) -> None:
    try:
        returned = function(*args)
    except Exception as error:
        future.set_exception(error)
    else:
        future.set_result(returned)
