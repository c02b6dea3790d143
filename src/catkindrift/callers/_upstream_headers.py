"""Headers with which upstreams report their state and outcomes."""

from typing import Final

from catkindrift.http1 import HeaderRules, ResponseHead, find_header

OUTCOME_HEADER = 'Catkindrift-Outcome'
STATE_HEADER = 'Catkindrift-State'
BUSY_SLOTS_HEADER = 'Catkindrift-Busy-Slots'
LEAVING_STATE = 'leaving'
# Callers can't state headers with this prefix.
_OWN_PREFIX = b'catkindrift-'
TIMEOUT_HEADER = 'Request-Timeout'
KEY_HEADER = 'Idempotency-Key'
REPLAYED_HEADER = 'Idempotency-Replayed'


def _names(*headers: str) -> frozenset[bytes]:
    return frozenset(name.lower().encode() for name in headers)


# One rule for requests and responses, of callers and upstreams.
HEADER_RULES: Final = HeaderRules(
    _names(
        OUTCOME_HEADER,
        STATE_HEADER,
        BUSY_SLOTS_HEADER,
        TIMEOUT_HEADER,
        KEY_HEADER,
        REPLAYED_HEADER,
    ),
    _names(TIMEOUT_HEADER, KEY_HEADER),
    _OWN_PREFIX,
)
_NOT_RUN = 'not_run'


def reports_not_run(head: ResponseHead) -> bool:
    """Return whether the upstream reports that it did not run the request."""
    return _header_text(head, OUTCOME_HEADER) == _NOT_RUN


def reports_leaving(head: ResponseHead) -> bool:
    """Return whether the upstream reports that it is shutting down."""
    return _header_text(head, STATE_HEADER) == LEAVING_STATE


def busy_slots(head: ResponseHead) -> int:
    """Return the number of slots in use, 0 if not reported."""
    text = _header_text(head, BUSY_SLOTS_HEADER)
    return int(text) if text.isdecimal() else 0


def _header_text(head: ResponseHead, name: str) -> str:
    text = find_header(head.headers, name.lower().encode())
    return text.decode('latin-1')
