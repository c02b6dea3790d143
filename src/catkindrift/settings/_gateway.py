"""Settings of an entry VM on the users' platform."""

import math
from typing import Any, final

import attrs

from catkindrift.settings._endpoint import Endpoint, check_endpoint
from catkindrift.settings._vm import VmSettings

_MILLISECONDS_PER_SECOND = 1000
# Fraction of the history that a watch may wait; the rest is left for the
# response to arrive before the revision is dropped.
_MAX_WAIT_HISTORY_SHARE = 0.9


def _check_bound(
    _instance: object, attribute: 'attrs.Attribute[Any]', bound: float
) -> None:
    """Reject what is no bound; TOML has inf and nan."""
    if not 0 <= bound < math.inf:
        raise ValueError(
            f"'{attribute.name}' must be finite and >= 0: {bound}",
        )


@final
@attrs.frozen
class GatewayListenSettings:
    """Addresses that the VM listens on, each as ``IP:port``.

    Args:
        callers: Requests of callers.
        readiness: Readiness checks of the platform.
        directory: Look-ups of callers that ask where to connect.
        peers: Heartbeats of other entry VMs, over UDP.
        metrics: Metrics endpoint of the VM.
    """

    callers: str = attrs.field(validator=check_endpoint)
    readiness: str = attrs.field(validator=check_endpoint)
    directory: str = attrs.field(validator=check_endpoint)
    peers: str = attrs.field(validator=check_endpoint)
    metrics: str = attrs.field(validator=check_endpoint)


@final
@attrs.frozen
class GatewayPlatformSettings:
    """Access to the platform's store.

    Args:
        address: ``IP:port`` of the store.
        watch_wait_ms: Longest time that a watch waits for a change; the
            platform allows at most 30 s.
        sentinel_wait_ms: The same limit on the sentinels, the few entry VMs
            that detect silent watches and store outages for the others; the
            bounds may require less.
        history_s: Time in seconds for which the store keeps changes.
        call_timeout_ms: Timeout of a call, in addition to the time that a
            watch waits.
    """

    address: str = attrs.field(validator=check_endpoint)
    watch_wait_ms: int = attrs.field(
        default=25_000,
        validator=attrs.validators.in_(range(1, 30_001)),
    )
    sentinel_wait_ms: int = attrs.field(
        default=2600,
        validator=attrs.validators.in_(range(1, 30_001)),
    )
    history_s: float = attrs.field(default=20, validator=attrs.validators.gt(0))
    call_timeout_ms: int = attrs.field(
        default=1000, validator=attrs.validators.ge(1)
    )

    @property
    def longest_wait_ms(self) -> int:
        """Longest wait of a watch that ends before the history does.

        If the store drops a watch's revision while the watch waits, all
        objects have to be listed again.
        """
        kept_ms = self.history_s * _MILLISECONDS_PER_SECOND
        return min(self.watch_wait_ms, round(kept_ms * _MAX_WAIT_HISTORY_SHARE))

    @property
    def endpoint(self) -> Endpoint:
        """Parsed `address`."""
        return Endpoint.parse(self.address)


@final
@attrs.frozen
class GatewayBoundSettings:
    """Limits that apply to all entry VMs together.

    Args:
        retry_ratio: Retries allowed for each request of a service.
        retry_window_s: Window in seconds in which retries are counted.
        retry_slack: Retries allowed in each window in addition to the ratio.
        cold_overshoot: Factor applied to the request rate that a cold
            upstream accepts.
        cold_slack: Requests per second allowed in addition to that rate.
        quota_window_s: Window in seconds in which the requests of a workspace
            are counted.
        quota_overshoot: Fraction by which its quota may be exceeded.
        quota_slack: Requests allowed in each window in addition to that.
        stable_window_s: Time in seconds after a disturbance of its
            connections from which a VM keeps the bounds again.
        config_apply_s: Time in seconds in which a configuration takes effect.
        drain_s: Time in seconds after which an upstream that leaves gets no
            more requests.
        evacuation_s: The same for an evacuated zone.
        grace_s: Time in seconds between the stop signal and the kill.
        directory_lifetime_s: Longest time in seconds for which callers may
            cache a directory response.
    """

    retry_ratio: float = attrs.field(default=0.1, validator=_check_bound)
    retry_window_s: float = attrs.field(default=10, validator=_check_bound)
    retry_slack: float = attrs.field(default=10, validator=_check_bound)
    cold_overshoot: float = attrs.field(default=1, validator=_check_bound)
    cold_slack: float = attrs.field(default=0, validator=_check_bound)
    quota_window_s: float = attrs.field(
        default=5, validator=[attrs.validators.gt(0), _check_bound]
    )
    quota_overshoot: float = attrs.field(default=0.1, validator=_check_bound)
    quota_slack: float = attrs.field(default=20, validator=_check_bound)
    stable_window_s: float = attrs.field(default=3, validator=_check_bound)
    config_apply_s: float = attrs.field(default=2.5, validator=_check_bound)
    drain_s: float = attrs.field(default=2.5, validator=_check_bound)
    evacuation_s: float = attrs.field(default=5, validator=_check_bound)
    grace_s: float = attrs.field(default=6, validator=_check_bound)
    directory_lifetime_s: float = attrs.field(default=5, validator=_check_bound)


@final
@attrs.frozen
class GatewayPlacementSettings:
    """Placement of objects on upstreams.

    Args:
        locality: Whether requests run in their own zone, or else in their own
            region, where these have the capacity.
        remembered_objects: Number of objects that one upstream caches; the
            fewest of the measured services is 14.
    """

    locality: bool = False
    remembered_objects: int = attrs.field(
        default=14, validator=attrs.validators.ge(1)
    )


@final
@attrs.frozen
class GatewayOverloadSettings:
    """What is done when upstreams have too little room.

    Args:
        queueing: Whether requests wait in the entry VM, in order of urgency.
    """

    queueing: bool = False


@final
@attrs.frozen
class GatewaySettings:
    """Contents of the settings file of an entry VM on the users' platform.

    Args:
        vm: Identity of the VM.
        listen: Addresses to listen on.
        platform: Access to the platform's store.
        zones: Region of each availability zone.
        bounds: Limits that apply to all entry VMs together.
        placement: Placement of objects on upstreams.
        overload: What is done when upstreams have too little room.
    """

    vm: VmSettings
    listen: GatewayListenSettings
    platform: GatewayPlatformSettings
    zones: dict[str, str]
    bounds: GatewayBoundSettings = GatewayBoundSettings()
    placement: GatewayPlacementSettings = GatewayPlacementSettings()
    overload: GatewayOverloadSettings = GatewayOverloadSettings()
