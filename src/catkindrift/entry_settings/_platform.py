"""Settings for the platform's object API."""

from typing import final

import attrs


@final
@attrs.frozen
class PlatformSettings:
    """Access to the platform and its rate limit.

    Args:
        url: Base URL of the object API, with an IP address as its host.
        calls_per_second: Rate limit of this VM's calls, including watches.
        burst_calls: Burst size of the rate limit.
        timeout_ms: Timeout of a call.
        watch_wait_ms: Longest time that a watch waits for a change.
    """

    url: str = attrs.field(validator=attrs.validators.matches_re('https?://.+'))
    calls_per_second: int = attrs.field(
        default=40, validator=attrs.validators.ge(1)
    )
    burst_calls: int = attrs.field(default=40, validator=attrs.validators.ge(1))
    timeout_ms: int = attrs.field(
        default=2000, validator=attrs.validators.ge(1)
    )
    watch_wait_ms: int = attrs.field(
        default=3000, validator=attrs.validators.ge(1)
    )
