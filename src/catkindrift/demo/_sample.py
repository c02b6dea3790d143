"""Default deployment of the demo."""

from catkindrift.domain import Measure, Repeat, Service, Zone
from catkindrift.entry_settings import (
    Deployment,
    DeploymentSettings,
    UpstreamCount,
)


def sample_deployment() -> Deployment:
    """Return a deployment of two regions with one availability zone each."""
    return Deployment(
        deployment=DeploymentSettings('sample', entry_vms_per_zone=2),
        zones=(
            Zone('asturias-1', 'asturias', ('127.0.0.0/9', '10.20.0.0/16')),
            Zone('cantabria-1', 'cantabria', ('10.21.0.0/16',)),
        ),
        services=(
            Service('tariffs', repeat=Repeat.IDEMPOTENT, deadline_ms=2000),
            Service('reservations', repeat=Repeat.ONCE),
            Service(
                'surveys',
                measure=Measure.DRAIN_TIME,
                deadline_ms=600_000,
                max_body_bytes=2_000_000_000,
            ),
        ),
        upstreams=(
            UpstreamCount('tariffs', 4),
            UpstreamCount('reservations', 2),
            UpstreamCount('surveys', 4),
        ),
    )
