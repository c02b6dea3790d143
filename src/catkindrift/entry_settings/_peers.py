"""Settings for communication between entry VMs."""

from typing import Any, final

import attrs

from catkindrift.settings import check_endpoint


def _check_seeds(
    instance: object,
    attribute: 'attrs.Attribute[Any]',
    seeds: tuple[str, ...],
) -> None:
    for seed in seeds:
        check_endpoint(instance, attribute, seed)


@final
@attrs.frozen
class PeerSettings:
    """Discovery and authentication between entry VMs.

    Args:
        seeds: Addresses of peers, each as ``IP:port``, to contact while the
            platform is unavailable.
        secret_file: File with the secret that all entry VMs share; may be
            empty only if the VM listens for peers on loopback.
        exchange_interval_ms: Time between two state exchanges.
    """

    seeds: tuple[str, ...] = attrs.field(default=(), validator=_check_seeds)
    secret_file: str = ''
    exchange_interval_ms: int = attrs.field(
        default=500,
        validator=attrs.validators.ge(10),
    )
