"""Which requests crash upstreams, and their quarantine."""

from catkindrift.blame._fingerprint import (
    BODY_PREFIX_BYTES,
    request_fingerprint,
    without_caller,
)
from catkindrift.blame._suspects import Cleared, Crash, Suspects
from catkindrift.blame._verdict import Verdict

__all__ = [
    'BODY_PREFIX_BYTES',
    'Cleared',
    'Crash',
    'Suspects',
    'Verdict',
    'request_fingerprint',
    'without_caller',
]
