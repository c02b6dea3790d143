"""What one entry VM may admit of a workspace."""

from enum import StrEnum
from typing import final

import attrs


class ShareKind(StrEnum):
    """By what a share is known."""

    GRANTED = 'granted'
    FIXED = 'fixed'


@final
@attrs.frozen
class QuotaShare:
    """Share of one entry VM in a quota, for the log.

    Args:
        kind: By what it is known.
        requests: Requests left by the grant, or of a window.
        age_ms: Time since the grant, or since the last one has ended.
    """

    kind: ShareKind
    requests: int
    age_ms: int
