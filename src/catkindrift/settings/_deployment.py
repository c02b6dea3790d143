"""Settings of a whole deployment, for the demonstration and for tests."""

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
        extra_entry_vms: Entry VMs more, one each in the first zones.
        slots_per_upstream: Requests that an upstream runs at a time.
        connections_per_upstream: Connections that an upstream takes.
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
    """Number of a service's upstreams over all zones.

    Args:
        service: Name of the service.
        count: Upstreams, dealt to the zones in turn.
    """

    service: str
    count: int = attrs.field(validator=attrs.validators.ge(1))


@final
@attrs.frozen
class Deployment:
    """A deployment file.

    Args:
        deployment: Sizes.
        zones: Availability zones.
        services: Services.
        upstreams: Upstream counts by service.
    """

    deployment: DeploymentSettings
    zones: tuple[Zone, ...] = attrs.field(validator=attrs.validators.min_len(1))
    services: tuple[Service, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    upstreams: tuple[UpstreamCount, ...] = ()
