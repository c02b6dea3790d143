"""What operators can do, on the loop."""

import uuid
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.core import ConfigurationReceived, Event
from catkindrift.domain import (
    Configuration,
    Intent,
    Plan,
    Service,
    Zone,
)
from catkindrift.errors import NotFoundError
from catkindrift.operators._observer import Observer
from catkindrift.plans import (
    ConfigurationSnapshot,
    ConfigurationStore,
    Planner,
    add_plan,
    cancel_plan,
    confirm_plan,
    pause_plan,
    put_service,
    put_zone,
    remove_service,
    remove_zone,
    resume_plan,
)

_PLAN_NAME_DIGITS = 8


@final
@attrs.define(eq=False)
class OperatorService:
    """Changes the configuration and answers intents with plans.

    Args:
        store: The configuration in the platform.
        observer: Views of the deployment.
        clock: Source of time.
        post: Handles an event on the loop.
    """

    _store: ConfigurationStore
    _observer: Observer
    _clock: Clock
    _post: Callable[[Event], None]

    async def put_service(self, service: Service) -> Configuration:
        """Create or replace a service."""
        return await self._edit(lambda known: put_service(known, service))

    async def remove_service(self, name: str) -> Configuration:
        """Remove a service."""
        return await self._edit(lambda known: remove_service(known, name))

    async def put_zone(self, zone: Zone) -> Configuration:
        """Create or replace an availability zone."""
        return await self._edit(lambda known: put_zone(known, zone))

    async def remove_zone(self, name: str) -> Configuration:
        """Remove an availability zone."""
        return await self._edit(lambda known: remove_zone(known, name))

    async def plan(self, intent: Intent) -> Plan:
        """Answer an intent with a plan that waits for confirmation."""
        name = f'plan-{uuid.uuid4().hex[:_PLAN_NAME_DIGITS]}'
        return _found(
            await self._edit(lambda known: self._propose(known, name, intent)),
            name,
        )

    async def confirm(self, name: str) -> Plan:
        """Let a plan run."""
        wall_ms = self._clock.wall_ms()
        return _found(
            await self._edit(lambda known: confirm_plan(known, name, wall_ms)),
            name,
        )

    async def pause(self, name: str) -> Plan:
        """Hold a plan before its next step."""
        return _found(
            await self._edit(lambda known: pause_plan(known, name)),
            name,
        )

    async def resume(self, name: str) -> Plan:
        """Let a paused plan go on."""
        return _found(
            await self._edit(lambda known: resume_plan(known, name)),
            name,
        )

    async def cancel(self, name: str) -> Plan:
        """End a plan and undo what it has put in force."""
        wall_ms = self._clock.wall_ms()
        return _found(
            await self._edit(lambda known: cancel_plan(known, name, wall_ms)),
            name,
        )

    def _propose(
        self,
        known: Configuration,
        name: str,
        intent: Intent,
    ) -> Configuration:
        planner = Planner(known, self._observer.view())
        return add_plan(known, planner.plan(name, intent))

    async def _edit(
        self,
        change: Callable[[Configuration], Configuration],
    ) -> Configuration:
        seen = await self._store.edit(change)
        self._see(seen)
        return seen.configuration

    def _see(self, seen: ConfigurationSnapshot) -> None:
        self._post(ConfigurationReceived(seen.configuration, seen.confirmed_ms))


def _found(configuration: Configuration, name: str) -> Plan:
    plan = configuration.plan(name)
    if plan is None:
        raise NotFoundError(f'no plan {name}; list them with GET /plans')
    return plan
