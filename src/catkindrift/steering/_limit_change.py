"""Change of what is known about the limit of an upstream."""

import enum
from typing import final


@final
class LimitChange(enum.StrEnum):
    """What a response has changed."""

    NONE = 'none'
    NAMED = 'named'
    CHANGED = 'changed'
    ENDED = 'ended'
