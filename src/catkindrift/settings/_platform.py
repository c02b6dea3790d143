"""Settings for the platform's object API."""

from typing import final

import attrs


@final
@attrs.frozen
class PlatformSettings:
    """How the platform is reached and how often it may be called.

    Args:
        url: Base URL of the object API, by IP number.
        calls_per_second: Calls that this VM may make, waiting watches too.
        burst_calls: Calls that may be made at once after a quiet time.
        timeout_ms: Time limit of one call.
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
