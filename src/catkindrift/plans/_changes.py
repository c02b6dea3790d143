"""Changes of services and places by operators."""

from typing import TypeVar

import attrs

from catkindrift.domain import Configuration, Service, Zone
from catkindrift.errors import ConflictError, NotFoundError

_Named = TypeVar('_Named', Service, Zone)


def evolve_configuration(
    configuration: Configuration, **changes: object
) -> Configuration:
    """Return a configuration with the next revision.

    Args:
        configuration: What the change starts from.
        changes: New values by field name.
    """
    return attrs.evolve(
        configuration,
        revision=configuration.revision + 1,
        **changes,  # type: ignore[arg-type]
    )


def evolve_basis(
    configuration: Configuration,
    **changes: object,
) -> Configuration:
    """Return a configuration that makes plans from before invalid."""
    return evolve_configuration(
        configuration,
        basis_revision=configuration.revision + 1,
        **changes,
    )


def put_service(
    configuration: Configuration,
    service: Service,
) -> Configuration:
    """Create a service or replace the one of the same name."""
    services = _upsert(configuration.services, service)
    return evolve_basis(configuration, services=services)


def put_zone(configuration: Configuration, zone: Zone) -> Configuration:
    """Create an availability zone or replace the one of the same name."""
    zones = _upsert(configuration.zones, zone)
    return evolve_basis(configuration, zones=zones)


def remove_service(configuration: Configuration, name: str) -> Configuration:
    """Remove a service.

    Raises:
        NotFoundError: There is none of that name.
        ConflictError: A shift moves its traffic.
    """
    if configuration.service(name) is None:
        raise NotFoundError(f'no service {name}; list them with GET /services')
    if any(shift.service == name for shift in configuration.shifts):
        raise ConflictError(
            f'a shift moves service {name}; bring the shift back first',
        )
    services = _without(configuration.services, name)
    return evolve_basis(configuration, services=services)


def remove_zone(configuration: Configuration, name: str) -> Configuration:
    """Remove an availability zone.

    Raises:
        NotFoundError: There is none of that name.
        ConflictError: It is not drained.
    """
    if configuration.zone(name) is None:
        raise NotFoundError(f'no zone {name}; list them with GET /zones')
    if not any(drain.target == name for drain in configuration.drains):
        raise ConflictError(f'zone {name} is in use; drain it first')
    zones = _without(configuration.zones, name)
    return evolve_basis(configuration, zones=zones)


def _upsert(known: tuple[_Named, ...], new: _Named) -> tuple[_Named, ...]:
    replaced = {each.name: each for each in known}
    replaced[new.name] = new
    return tuple(replaced[name] for name in sorted(replaced))


def _without(known: tuple[_Named, ...], name: str) -> tuple[_Named, ...]:
    return tuple(each for each in known if each.name != name)
