"""Operations of the operator API, run on the event loop."""

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
from catkindrift.operators._deployment_reader import DeploymentReader
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
@attrs.define(eq=False, repr=False)
class OperatorService:
    """Edits the stored configuration and turns intents into plans.

    Args:
        store: Configuration in the platform's object store.
        reader: Reads the state of the deployment.
        clock: Source of time.
        post: Passes an event to the core, on the event loop.
    """

    _store: ConfigurationStore
    _reader: DeploymentReader
    _clock: Clock
    _post: Callable[[Event], None]

    async def put_service(self, service: Service) -> Configuration:
        """Create or replace a service."""
        return await self._edit(lambda current: put_service(current, service))

    async def remove_service(self, name: str) -> Configuration:
        """Remove a service."""
        return await self._edit(lambda current: remove_service(current, name))

    async def put_zone(self, zone: Zone) -> Configuration:
        """Create or replace an availability zone."""
        return await self._edit(lambda current: put_zone(current, zone))

    async def remove_zone(self, name: str) -> Configuration:
        """Remove an availability zone."""
        return await self._edit(lambda current: remove_zone(current, name))

    async def propose_plan(self, intent: Intent) -> Plan:
        """Create a plan for an intent; it runs only after confirmation."""
        name = f'plan-{uuid.uuid4().hex[:_PLAN_NAME_DIGITS]}'
        return _find_plan(
            await self._edit(
                lambda current: self._propose(current, name, intent)
            ),
            name,
        )

    async def confirm(self, name: str) -> Plan:
        """Confirm a plan so that it runs."""
        wall_ms = self._clock.wall_ms()
        return _find_plan(
            await self._edit(
                lambda current: confirm_plan(current, name, wall_ms)
            ),
            name,
        )

    async def pause(self, name: str) -> Plan:
        """Pause a plan before its next step."""
        return _find_plan(
            await self._edit(lambda current: pause_plan(current, name)),
            name,
        )

    async def resume(self, name: str) -> Plan:
        """Resume a paused plan."""
        return _find_plan(
            await self._edit(lambda current: resume_plan(current, name)),
            name,
        )

    async def cancel(self, name: str) -> Plan:
        """Cancel a plan and undo its steps that are in force."""
        wall_ms = self._clock.wall_ms()
        return _find_plan(
            await self._edit(
                lambda current: cancel_plan(current, name, wall_ms)
            ),
            name,
        )

    def _propose(
        self,
        configuration: Configuration,
        name: str,
        intent: Intent,
    ) -> Configuration:
        planner = Planner(configuration, self._reader.fleet_view())
        return add_plan(configuration, planner.plan(name, intent))

    async def _edit(
        self,
        change: Callable[[Configuration], Configuration],
    ) -> Configuration:
        stored = await self._store.edit(change)
        self._post_configuration(stored)
        return stored.configuration

    def _post_configuration(self, stored: ConfigurationSnapshot) -> None:
        self._post(
            ConfigurationReceived(stored.configuration, stored.confirmed_ms)
        )


def _find_plan(configuration: Configuration, name: str) -> Plan:
    plan = configuration.plan(name)
    if plan is None:
        raise NotFoundError(
            f'plan {name} does not exist; list the plans with GET /plans'
        )
    return plan
