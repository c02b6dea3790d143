"""Settings of a local deployment, for the demo and for tests."""

from typing import final

import attrs

from catkindrift.domain import Service, Zone


@final
@attrs.frozen
class DeploymentSettings:
    """Sizes of a deployment.

    Args:
        name: Name of the deployment.
        entry_vms_per_zone: Entry VMs in each availability zone.
        extra_entry_vms: Additional entry VMs, one in each of the first zones.
        slots_per_upstream: Requests that an upstream runs concurrently.
        connections_per_upstream: Connections that an upstream accepts.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    entry_vms_per_zone: int = attrs.field(validator=attrs.validators.ge(1))
    extra_entry_vms: int = attrs.field(
        default=0, validator=attrs.validators.ge(0)
    )
    slots_per_upstream: int = attrs.field(
        default=4, validator=attrs.validators.ge(1)
    )
    connections_per_upstream: int = attrs.field(
        default=400,
        validator=attrs.validators.ge(1),
    )


@final
@attrs.frozen
class UpstreamCount:
    """Number of upstreams of a service in all zones together.

    Args:
        service: Name of the service.
        count: Number of upstreams, assigned to the zones round-robin.
    """

    service: str
    count: int = attrs.field(validator=attrs.validators.ge(1))


@final
@attrs.frozen
class Deployment:
    """Contents of a deployment file.

    Args:
        deployment: Name and sizes of the deployment.
        zones: Availability zones, at least one.
        services: Services, at least one.
        upstreams: Number of upstreams for each service.
    """

    deployment: DeploymentSettings
    zones: tuple[Zone, ...] = attrs.field(validator=attrs.validators.min_len(1))
    services: tuple[Service, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    upstreams: tuple[UpstreamCount, ...] = ()
