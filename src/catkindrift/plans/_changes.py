"""Edits of services and zones in the configuration."""

from typing import TypeVar

import attrs

from catkindrift.domain import Configuration, Service, Zone
from catkindrift.errors import ConflictError, NotFoundError

_Named = TypeVar('_Named', Service, Zone)


def evolve_configuration(
    configuration: Configuration, **changes: object
) -> Configuration:
    """Return a copy with new field values and the next revision.

    Args:
        configuration: The configuration to copy.
        changes: New values by field name.

    Returns:
        The configuration with the changes and its revision raised by one.
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
    """Return a copy as `evolve_configuration` does, with a new basis.

    Plans proposed on an earlier basis can no longer be confirmed.

    Args:
        configuration: The configuration to copy.
        changes: New values by field name.
    """
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
        NotFoundError: No service has that name.
        ConflictError: A shift is in force for the service.
    """
    if configuration.service(name) is None:
        raise NotFoundError(f'no service {name}; list them with GET /services')
    if any(shift.service == name for shift in configuration.shifts):
        raise ConflictError(
            f'a shift moves traffic of service {name}; '
            'bring the shift back first',
        )
    services = _without(configuration.services, name)
    return evolve_basis(configuration, services=services)


def remove_zone(configuration: Configuration, name: str) -> Configuration:
    """Remove an availability zone.

    Raises:
        NotFoundError: No zone has that name.
        ConflictError: The zone is not drained.
    """
    if configuration.zone(name) is None:
        raise NotFoundError(f'no zone {name}; list them with GET /zones')
    if not any(drain.target == name for drain in configuration.drains):
        raise ConflictError(f'zone {name} is not drained; drain it first')
    zones = _without(configuration.zones, name)
    return evolve_basis(configuration, zones=zones)


def _upsert(objects: tuple[_Named, ...], new: _Named) -> tuple[_Named, ...]:
    by_name = {each.name: each for each in objects}
    by_name[new.name] = new
    return tuple(by_name[name] for name in sorted(by_name))


def _without(objects: tuple[_Named, ...], name: str) -> tuple[_Named, ...]:
    return tuple(each for each in objects if each.name != name)
