"""Settings that bound what an entry VM takes on."""

from typing import final

import attrs


@final
@attrs.frozen
class LimitSettings:
    """Bounds of one entry VM.

    Args:
        caller_threads: Requests in the VM at a time; no threads any more, but
            settings files that exist name it so.
        reserved_threads: Part of them that service requests never take.
        lookup_lifetime_ms: How long callers may use a look-up answer.
        max_header_bytes: Largest accepted request header.
        stop_timeout_ms: Longest time a stop waits for requests in flight.
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
