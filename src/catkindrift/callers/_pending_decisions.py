"""Decisions of the core, for the requests that wait for them."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.core import (
    CallerEffect,
    CoreClosed,
    Event,
    Refusal,
    RefusalReason,
    Refuse,
    RequestArrived,
)
from catkindrift.retries import Outcome


@final
@attrs.define(eq=False)
class PendingDecisions:
    """Reports what happens to requests and hands on what is decided.

    Args:
        post: Handles an event.
    """

    _post: Callable[[Event], None]
    _waiting: dict[int, asyncio.Future[CallerEffect]] = attrs.field(
        init=False,
        factory=dict,
    )
    _is_closed: bool = attrs.field(init=False, default=False)

    async def request_decision(
        self, request_id: int, event: Event
    ) -> CallerEffect:
        """Report an event and wait for the decision about a request.

        After `close` every request is refused at once.
        """
        if self._is_closed:
            return _refuse_closed(request_id, event)
        loop = asyncio.get_running_loop()
        decision: asyncio.Future[CallerEffect] = loop.create_future()
        with contextlib.ExitStack() as stack:
            self._waiting[request_id] = decision
            stack.callback(self._waiting.pop, request_id, None)
            self._post(event)
            return await decision

    def report_event(self, event: Event) -> None:
        """Report an event that needs no answer."""
        self._post(event)

    def resolve(self, request_id: int, effect: CallerEffect) -> None:
        """Hand a decision to the request that waits for it."""
        decision = self._waiting.get(request_id)
        if decision is not None and not decision.done():
            decision.set_result(effect)

    def close(self) -> None:
        """Let no request wait for a decision any more."""
        self._post(CoreClosed())
        self._is_closed = True


def _refuse_closed(request_id: int, event: Event) -> CallerEffect:
    """Return the refusal of a request that came after the end.

    One that has just arrived has not run; of others nobody knows.
    """
    is_new = isinstance(event, RequestArrived)
    outcome = Outcome.NOT_RUN if is_new else Outcome.UNKNOWN
    return Refuse(request_id, Refusal(RefusalReason.NOT_READY, outcome))
