"""Settings for the traffic between entry VMs."""

from typing import Any, final

import attrs

from catkindrift.settings._endpoint import check_endpoint


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
    """How entry VMs find and trust each other.

    Args:
        seeds: Peer addresses to ask while the platform is down.
        secret_file: File with the secret that all entry VMs share; empty
            only on loopback.
        exchange_interval_ms: Time between two exchanges of state.
    """

    seeds: tuple[str, ...] = attrs.field(default=(), validator=_check_seeds)
    secret_file: str = ''
    exchange_interval_ms: int = attrs.field(
        default=500,
        validator=attrs.validators.ge(10),
    )
