"""Connects waiting requests to the core's decisions."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.core import (
    CallerEffect,
    Event,
)


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

    async def request_decision(
        self, request_id: int, event: Event
    ) -> CallerEffect:
        """Post an event and wait for the decision about a request.

        Args:
            request_id: Id of the request that waits.
            event: What happened to it.
        """
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
