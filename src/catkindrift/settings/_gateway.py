"""Settings of an entry VM on the users' platform."""

from typing import final

import attrs

from catkindrift.settings._endpoint import Endpoint, check_endpoint
from catkindrift.settings._vm import VmSettings

_MILLISECONDS_PER_SECOND = 1000
# Part of the history that a wait may take; answers need some time too.
_MAX_WAIT_HISTORY_SHARE = 0.9


@final
@attrs.frozen
class GatewayListenSettings:
    """Addresses that the VM listens on, each as ``IP:port``.

    Args:
        callers: For requests of callers.
        readiness: For the platform's checks.
        directory: For callers who ask where to connect.
        peers: For heartbeats of other entry VMs, over UDP.
        metrics: For the VM's own metrics.
    """

    callers: str = attrs.field(validator=check_endpoint)
    readiness: str = attrs.field(validator=check_endpoint)
    directory: str = attrs.field(validator=check_endpoint)
    peers: str = attrs.field(validator=check_endpoint)
    metrics: str = attrs.field(validator=check_endpoint)


@final
@attrs.frozen
class GatewayPlatformSettings:
    """How the platform's store is reached.

    Args:
        address: ``IP:port`` of the store.
        watch_wait_ms: Longest time that a watch waits for a change; the
            platform allows 30 s.
        sentinel_wait_ms: The same on the few entry VMs that notice for all
            that watches have gone silent, and that the store was away.
        history_s: Time in seconds for which the store keeps changes.
        call_timeout_ms: Time limit of a call, besides the time it waits.
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
        """Return the wait of a watch that does not outlast the history.

        A watch whose revision is dropped while it waits has to list anew.
        """
        kept_ms = self.history_s * _MILLISECONDS_PER_SECOND
        return min(self.watch_wait_ms, round(kept_ms * _MAX_WAIT_HISTORY_SHARE))

    @property
    def endpoint(self) -> Endpoint:
        """Return the address in parts."""
        return Endpoint.parse(self.address)


@final
@attrs.frozen
class GatewayBoundSettings:
    """Bounds that hold for all entry VMs together.

    Args:
        retry_ratio: Extra attempts for each request of a service.
        retry_window_s: Window in which they are counted, in seconds.
        retry_slack: Extra attempts allowed besides in each window.
        cold_overshoot: Factor on the pace of cold upstreams.
        cold_slack: Requests besides that pace in one second.
        grace_s: Time in seconds from the signal to stop to the kill.
        directory_lifetime_s: Longest lifetime in seconds of an answer that
            tells callers where to connect.
    """

    retry_ratio: float = 0.1
    retry_window_s: float = 10
    retry_slack: float = 10
    cold_overshoot: float = 1
    cold_slack: float = 0
    grace_s: float = 6
    directory_lifetime_s: float = 5


@final
@attrs.frozen
class GatewaySettings:
    """All settings of one entry VM on the users' platform.

    Args:
        vm: Identity of the VM.
        listen: Its addresses.
        platform: The platform's store.
        zones: Region of each availability zone.
        bounds: Bounds of all entry VMs together.
    """

    vm: VmSettings
    listen: GatewayListenSettings
    platform: GatewayPlatformSettings
    zones: dict[str, str]
    bounds: GatewayBoundSettings = GatewayBoundSettings()
