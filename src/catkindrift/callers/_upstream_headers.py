"""Headers with which upstreams report their state and outcomes."""

from catkindrift.http1 import ResponseHead, find_header

OUTCOME_HEADER = 'Catkindrift-Outcome'
STATE_HEADER = 'Catkindrift-State'
BUSY_SLOTS_HEADER = 'Catkindrift-Busy-Slots'
LEAVING_STATE = 'leaving'
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
