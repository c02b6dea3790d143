"""The right to use slots that another entry VM owns."""

from typing import final

import attrs


@final
@attrs.frozen
class Grant:
    """Slots of one upstream lent to another entry VM for a time.

    Args:
        grant_id: Unique with its granter.
        granter: Entry VM that owns the slots.
        upstream: Upstream whose slots are lent.
        slots: Requests that the holder may run there at a time.
        expires_ms: End of the grant by the clock of whoever keeps it.
    """

    grant_id: int
    granter: str
    upstream: str
    slots: int
    expires_ms: int
