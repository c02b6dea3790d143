"""What upstreams state in the headers of their responses."""

from catkindrift.http1 import ResponseHead, find_header

OUTCOME_HEADER = 'Catkindrift-Outcome'
STATE_HEADER = 'Catkindrift-State'
BUSY_SLOTS_HEADER = 'Catkindrift-Busy-Slots'
LEAVING_STATE = 'leaving'
_NOT_RUN = 'not_run'


def reports_not_run(head: ResponseHead) -> bool:
    """Return whether the upstream did not start the request."""
    return _header_text(head, OUTCOME_HEADER) == _NOT_RUN


def reports_leaving(head: ResponseHead) -> bool:
    """Return whether the upstream says that it is leaving."""
    return _header_text(head, STATE_HEADER) == LEAVING_STATE


def busy_slots(head: ResponseHead) -> int:
    """Return the slots in use as the upstream reports them."""
    text = _header_text(head, BUSY_SLOTS_HEADER)
    return int(text) if text.isdecimal() else 0


def _header_text(head: ResponseHead, name: str) -> str:
    found = find_header(head.headers, name.lower().encode())
    return found.decode('latin-1')
