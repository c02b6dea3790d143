"""Passage between server threads and the loop."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar, final

import attrs

_Answer = TypeVar('_Answer')


@final
@attrs.define(eq=False)
class EventLoopBridge:
    """Lets server threads ask the loop, which alone touches state.

    Args:
        loop: The loop.
    """

    _loop: asyncio.AbstractEventLoop

    def call(self, function: Callable[..., _Answer], *args: Any) -> _Answer:
        """Run a function on the loop and return what it returns."""
        answer: Future[_Answer] = Future()
        self._loop.call_soon_threadsafe(
            _run_and_set_result, answer, function, args
        )
        return answer.result()

    def run(self, coroutine: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run a coroutine on the loop and return what it returns."""
        running = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return running.result()


def _run_and_set_result(
    answer: 'Future[Any]',
    function: Callable[..., Any],
    args: tuple[Any, ...],
) -> None:
    try:
        outcome = function(*args)
    except Exception as failure:
        answer.set_exception(failure)
    else:
        answer.set_result(outcome)
