"""What may be repeated of a request."""

import enum
from typing import final


@final
class RequestKind(enum.Enum):
    """How often a request of a route may run."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    UPLOAD = 'upload'

    @property
    def is_idempotent(self) -> bool:
        """Return whether running the request twice does no harm."""
        return self is RequestKind.SAFE
