"""Settings for the resource limits of an entry VM."""

from typing import final

import attrs


@final
@attrs.frozen
class LimitSettings:
    """Resource limits of one entry VM.

    Args:
        caller_threads: Maximum number of concurrent requests. They no longer
            run in threads; the name is kept for existing settings files.
        reserved_threads: Part of `caller_threads` that service requests
            cannot use.
        lookup_lifetime_ms: Time for which callers may cache the response to
            a look-up.
        max_header_bytes: Maximum size of the headers of a request.
        stop_timeout_ms: Time within which a stop ends; all responses are
            due shortly before.
    """

    caller_threads: int = attrs.field(
        default=64, validator=attrs.validators.ge(4)
    )
    reserved_threads: int = attrs.field(
        default=8, validator=attrs.validators.ge(1)
    )
    lookup_lifetime_ms: int = attrs.field(
        default=2000,
        validator=attrs.validators.ge(1),
    )
    max_header_bytes: int = attrs.field(
        default=32_768,
        validator=attrs.validators.ge(1024),
    )
    stop_timeout_ms: int = attrs.field(
        default=600_000,
        validator=attrs.validators.ge(0),
    )

    @reserved_threads.validator
    def _check_reserved_threads(
        self,
        _attribute: 'attrs.Attribute[int]',
        reserved: int,
    ) -> None:
        if reserved >= self.caller_threads:
            raise ValueError('a number below limits.caller_threads')
