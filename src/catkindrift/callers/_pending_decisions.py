"""Connects waiting requests to the core's decisions."""

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
@attrs.define(eq=False, repr=False)
class PendingDecisions:
    """Posts events to the core and resolves the requests that wait.

    Args:
        post: Passes an event to the core.
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
        """Post an event and wait for the decision about a request.

        After `close`, refuse every request without asking the core.

        Args:
            request_id: Id of the request that waits.
            event: What happened to it.
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
        """Post an event without waiting for a decision."""
        self._post(event)

    def resolve(self, request_id: int, effect: CallerEffect) -> None:
        """Pass a decision to the request that waits for it, if any."""
        decision = self._waiting.get(request_id)
        if decision is not None and not decision.done():
            decision.set_result(effect)

    def close(self) -> None:
        """Refuse all waiting and later requests."""
        self._post(CoreClosed())
        self._is_closed = True


def _refuse_closed(request_id: int, event: Event) -> CallerEffect:
    """Return the refusal of a request after `close`.

    A request that has just arrived has not run. For any other, an earlier
    attempt may have run, so its outcome is unknown.
    """
    is_new = isinstance(event, RequestArrived)
    outcome = Outcome.NOT_RUN if is_new else Outcome.UNKNOWN
    return Refuse(request_id, Refusal(RefusalReason.NOT_READY, outcome))
