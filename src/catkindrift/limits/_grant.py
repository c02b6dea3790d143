"""A time-limited right to use slots that another entry VM owns."""

from typing import final

import attrs


@final
@attrs.frozen
class Grant:
    """Slots of one upstream, lent to another entry VM for a limited time.

    Args:
        grant_id: Identifier, unique for its granter.
        granter: Entry VM that owns the slots.
        upstream: Upstream whose slots are lent.
        slots: Number of requests that the holder may run there at a time.
        expires_ms: Expiry on the monotonic clock of the VM that stores this
            object; granter and holder each use their own clock.
    """

    grant_id: int
    granter: str
    upstream: str
    slots: int
    expires_ms: int
