"""Request handlers of the operator API."""

from typing import Any, final

from catkindrift.domain import (
    Configuration,
    Intent,
    Plan,
    Service,
    Zone,
    decode_json,
)
from catkindrift.entry_settings import OperatorRole
from catkindrift.errors import InvalidInputError, NotFoundError
from catkindrift.operators._deployment_reader import DeploymentReader
from catkindrift.operators._handlers import (
    ApiContext,
    Resource,
    json_endpoint,
    read_body,
)
from catkindrift.operators._operator_service import OperatorService
from catkindrift.operators._status import DeploymentStatus, Headroom


class _ServiceResource(Resource):
    """Base class of resources that use the operator service."""

    def __init__(
        self,
        context: ApiContext,
        service: OperatorService,
        reader: DeploymentReader,
    ) -> None:
        """Store the service and the reader."""
        super().__init__(context)
        self.service = service
        self.reader = reader

    def configuration(self) -> Configuration:
        """Return the configuration in force on this entry VM."""
        return self.context.bridge.call(self.reader.configuration)


@final
class ServicesResource(_ServiceResource):
    """Serves ``/v1/services``."""

    @json_endpoint(OperatorRole.VIEWER)
    def GET(self, name: str = '') -> Any:  # noqa: N802
        """Return one service, or all if no name is given."""
        configuration = self.configuration()
        if not name:
            return configuration.services
        return _require_found(configuration.service(name), 'service', name)

    @json_endpoint(OperatorRole.OPERATOR)
    def PUT(self, name: str) -> Service:  # noqa: N802
        """Create or replace a service."""
        service = decode_json(read_body(), Service)
        _check_names_match(service.name, name)
        self.context.bridge.run(self.service.put_service(service))
        return service

    @json_endpoint(OperatorRole.OPERATOR)
    def DELETE(self, name: str) -> dict[str, str]:  # noqa: N802
        """Remove a service."""
        self.context.bridge.run(self.service.remove_service(name))
        return {'removed': name}


@final
class ZonesResource(_ServiceResource):
    """Serves ``/v1/zones``."""

    @json_endpoint(OperatorRole.VIEWER)
    def GET(self, name: str = '') -> Any:  # noqa: N802
        """Return one availability zone, or all if no name is given."""
        configuration = self.configuration()
        if not name:
            return configuration.zones
        return _require_found(configuration.zone(name), 'zone', name)

    @json_endpoint(OperatorRole.OPERATOR)
    def PUT(self, name: str) -> Zone:  # noqa: N802
        """Create or replace an availability zone."""
        zone = decode_json(read_body(), Zone)
        _check_names_match(zone.name, name)
        self.context.bridge.run(self.service.put_zone(zone))
        return zone

    @json_endpoint(OperatorRole.OPERATOR)
    def DELETE(self, name: str) -> dict[str, str]:  # noqa: N802
        """Remove an availability zone."""
        self.context.bridge.run(self.service.remove_zone(name))
        return {'removed': name}


@final
class IntentsResource(_ServiceResource):
    """Serves ``/v1/intents``."""

    @json_endpoint(OperatorRole.OPERATOR)
    def POST(self) -> Plan:  # noqa: N802
        """Create a plan for an intent."""
        intent: Any = decode_json(read_body(), Intent)  # type: ignore[arg-type]
        return self.context.bridge.run(self.service.propose_plan(intent))


@final
class PlansResource(_ServiceResource):
    """Serves ``/v1/plans``."""

    @json_endpoint(OperatorRole.VIEWER)
    def GET(self, name: str = '') -> Any:  # noqa: N802
        """Return one plan, or all stored plans if no name is given."""
        configuration = self.configuration()
        if not name:
            return configuration.plans
        return _require_found(configuration.plan(name), 'plan', name)

    @json_endpoint(OperatorRole.OPERATOR)
    def POST(self, name: str, action: str) -> Plan:  # noqa: N802
        """Confirm, pause, resume or cancel a plan."""
        match action:
            case 'confirm':
                change = self.service.confirm(name)
            case 'pause':
                change = self.service.pause(name)
            case 'resume':
                change = self.service.resume(name)
            case 'cancel':
                change = self.service.cancel(name)
            case _:
                raise NotFoundError(
                    f'action {action} does not exist; use confirm, pause, '
                    'resume or cancel',
                )
        return self.context.bridge.run(change)


@final
class StatusResource(_ServiceResource):
    """Serves ``/v1/status``."""

    @json_endpoint(OperatorRole.VIEWER)
    def GET(self) -> DeploymentStatus:  # noqa: N802
        """Return the state of the deployment."""
        return self.context.bridge.call(self.reader.status)


@final
class HeadroomResource(_ServiceResource):
    """Serves ``/v1/headroom``."""

    @json_endpoint(OperatorRole.VIEWER)
    def GET(self) -> tuple[Headroom, ...]:  # noqa: N802
        """Return the headroom of each service in each region."""
        return self.context.bridge.call(self.reader.headroom)


def _require_found(found: Any, kind: str, name: str) -> Any:
    if found is None:
        raise NotFoundError(
            f'{kind} {name} does not exist; list the {kind}s with GET /{kind}s'
        )
    return found


def _check_names_match(found: str, expected: str) -> None:
    if found != expected:
        raise InvalidInputError(
            f'the body names {found} but the path names {expected}; use the '
            'same name in both',
        )
