"""Kinds of requests, by whether they may be repeated."""

import enum
from typing import final


@final
class RequestKind(enum.Enum):
    """Kind of the requests of a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    UPLOAD = 'upload'

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self is RequestKind.SAFE
