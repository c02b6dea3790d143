"""Reads what upstreams put into their responses."""

from catkindrift.http1 import ResponseHead, find_header
from catkindrift.platform._headers import (
    COLD_REMAINING,
    LOAD,
    NOT_RUN,
    SIGNATURE,
    UPSTREAM_ID,
)
from catkindrift.platform._request_messages import request_id
from catkindrift.steering import LoadReport

_MISDIRECTED = 421
_LOAD_FIELDS = 3


def matches_attempt(head: ResponseHead, attempt: str) -> bool:
    """Return whether a response belongs to the attempt that was sent."""
    return request_id(head.headers) in {'', attempt}


def is_from_upstream(head: ResponseHead, attempt: str) -> bool:
    """Return whether an upstream itself made the response to the attempt."""
    has_id = request_id(head.headers) == attempt
    return has_id and bool(find_header(head.headers, SIGNATURE))


def reports_not_run(head: ResponseHead) -> bool:
    """Return whether the upstream states that it did not run the request."""
    is_marked = bool(find_header(head.headers, NOT_RUN))
    return is_marked or head.status == _MISDIRECTED


def is_misdirected(head: ResponseHead) -> bool:
    """Return whether another upstream has the address by now."""
    return head.status == _MISDIRECTED


def is_other_upstream(head: ResponseHead, upstream_id: str) -> bool:
    """Return whether a health check was answered by another upstream."""
    stated = find_header(head.headers, UPSTREAM_ID).decode('latin-1')
    return is_misdirected(head) or stated not in {'', upstream_id}


def parse_load_report(head: ResponseHead) -> LoadReport | None:
    """Return the load that an upstream states, if it does."""
    parts = find_header(head.headers, LOAD).split(b',')
    if len(parts) != _LOAD_FIELDS:
        return None
    if not all(each.isdigit() for each in parts):
        return None
    running, waiting, slots = (int(each) for each in parts)
    return LoadReport(running, waiting, slots)


def cold_remaining_ms(head: ResponseHead) -> int:
    """Return how much longer the upstream says that it is cold."""
    found = find_header(head.headers, COLD_REMAINING).strip()
    return int(found) if found.isdigit() else 0
