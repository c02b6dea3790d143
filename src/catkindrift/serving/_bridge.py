"""Passage between server threads and the loop."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar, final

import attrs

from catkindrift.core import (
    CallerEffect,
    Closed,
    Event,
    Refusal,
    RefusalReason,
    Refuse,
    RequestArrived,
)
from catkindrift.retries import Outcome

_Answer = TypeVar('_Answer')


@final
@attrs.define(eq=False)
class Bridge:
    """Lets server threads ask the loop, which alone touches state.

    Args:
        loop: The loop.
        post: Handles an event on the loop.
    """

    _loop: asyncio.AbstractEventLoop
    _post: Callable[[Event], None]
    _waiting: 'dict[int, Future[CallerEffect]]' = attrs.field(
        init=False,
        factory=dict,
    )

    _is_closed: bool = attrs.field(init=False, default=False)

    def ask(self, request_id: int, event: Event) -> CallerEffect:
        """Report an event and wait for the decision about a request.

        After `close` every request is refused at once.
        """
        answer: Future[CallerEffect] = Future()
        self._loop.call_soon_threadsafe(
            self._post_asked,
            request_id,
            answer,
            event,
        )
        return answer.result()

    def tell(self, event: Event) -> None:
        """Report an event that needs no answer."""
        self._loop.call_soon_threadsafe(self._post, event)

    def call(self, function: Callable[..., _Answer], *args: Any) -> _Answer:
        """Run a function on the loop and return what it returns."""
        answer: Future[_Answer] = Future()
        self._loop.call_soon_threadsafe(_run_into, answer, function, args)
        return answer.result()

    def run(self, coroutine: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run a coroutine on the loop and return what it returns."""
        running = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return running.result()

    def decide(self, request_id: int, effect: CallerEffect) -> None:
        """Hand a decision to the thread that waits for it; loop side."""
        answer = self._waiting.pop(request_id, None)
        if answer is not None:
            answer.set_result(effect)

    def close(self) -> None:
        """Let no thread wait for a decision any more; loop side."""
        self._post(Closed())
        self._is_closed = True

    def _post_asked(
        self,
        request_id: int,
        answer: 'Future[CallerEffect]',
        event: Event,
    ) -> None:
        if self._is_closed:
            answer.set_result(_refuse_closed(request_id, event))
            return
        self._waiting[request_id] = answer
        self._post(event)


def _run_into(
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


def _refuse_closed(request_id: int, event: Event) -> CallerEffect:
    """Return the refusal of a request that came after the end.

    One that has just arrived has not run; of others nobody knows.
    """
    is_new = isinstance(event, RequestArrived)
    outcome = Outcome.NOT_RUN if is_new else Outcome.UNKNOWN
    return Refuse(request_id, Refusal(RefusalReason.NOT_READY, outcome))
