"""Reads the platform's headers in upstreams' responses."""

import math
import re

import msgspec

from catkindrift.errors import MalformedLimitError
from catkindrift.http1 import ResponseHead, find_header
from catkindrift.platform._headers import (
    COLD_REMAINING,
    LEAVING,
    LIMIT,
    NOT_RUN,
    REQUEST_ID,
    RETRY_AFTER,
    SIGNATURE,
    UPSTREAM_ID,
)
from catkindrift.platform._wire_server import decode_start_ms

_MISDIRECTED = 421
_UNAVAILABLE = 503
_MILLISECONDS_PER_SECOND = 1000
# A longer pause is an error of the upstream.
_MAX_PAUSE_MS = 600_000
_DECIMAL = re.compile(rb'\d+(\.\d*)?|\.\d+')
# Malformed values are shown in the log up to this length.
_MAX_SHOWN_BYTES = 32


def matches_attempt(head: ResponseHead, attempt_id: str) -> bool:
    """Return whether a response is for the given attempt.

    A response without an attempt id is accepted.
    """
    return _attempt_ids(head) <= {attempt_id}


def is_from_upstream(head: ResponseHead, attempt_id: str) -> bool:
    """Return whether an upstream itself generated an attempt's response."""
    has_id = (_attempt_ids(head) or {''}) == {attempt_id}
    return has_id and bool(find_header(head.headers, SIGNATURE))


def _attempt_ids(head: ResponseHead) -> set[str]:
    """Return the ids that a response states; two recipients may read two."""
    return {
        stated.decode('latin-1')
        for name, stated in head.headers
        if name.lower() == REQUEST_ID and stated
    }


def reports_not_run(head: ResponseHead) -> bool:
    """Return whether the upstream reports that it did not run the request."""
    is_marked = bool(find_header(head.headers, NOT_RUN))
    return is_marked or head.status == _MISDIRECTED


def is_leaving(head: ResponseHead) -> bool:
    """Return whether the upstream states that it is shutting down."""
    return find_header(head.headers, LEAVING).strip() == b'1'


def is_misdirected(head: ResponseHead) -> bool:
    """Return whether the address now belongs to another upstream."""
    return head.status == _MISDIRECTED


def is_other_upstream(head: ResponseHead, upstream_id: str) -> bool:
    """Return whether another upstream responded to a health check.

    A response without an upstream id is taken for the intended upstream's.
    """
    responder_id = find_header(head.headers, UPSTREAM_ID).decode('latin-1')
    return is_misdirected(head) or responder_id not in {'', upstream_id}


def stated_start_ms(body: bytes) -> int:
    """Return the start that a health check's body states, 0 if it has none.

    Args:
        body: JSON document, or anything else.
    """
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return 0
    stated = document.get('born') if isinstance(document, dict) else 0
    return decode_start_ms(stated)


def request_limit(head: ResponseHead) -> float | None:
    """Return the limit that an upstream names, or None if it names none.

    Returns:
        Requests per second over all entry VMs.

    Raises:
        MalformedLimitError: The limit is not a finite decimal number from 0.
    """
    stated = find_header(head.headers, LIMIT).strip()
    if not stated:
        return None
    if not _DECIMAL.fullmatch(stated) or math.isinf(float(stated)):
        raise MalformedLimitError(stated[:_MAX_SHOWN_BYTES])
    return float(stated)


def requested_pause_ms(head: ResponseHead) -> int:
    """Return for how long a refusal asks for no requests, 0 if it does not."""
    stated = find_header(head.headers, RETRY_AFTER.lower()).strip()
    is_refusal = head.status == _UNAVAILABLE
    if not is_refusal or not _DECIMAL.fullmatch(stated):
        return 0
    pause_ms = min(float(stated) * _MILLISECONDS_PER_SECOND, _MAX_PAUSE_MS)
    return math.ceil(pause_ms)


def cold_remaining_ms(head: ResponseHead) -> int:
    """Return the time until the upstream is warm, 0 if it is not cold."""
    remaining = find_header(head.headers, COLD_REMAINING).strip()
    return int(remaining) if remaining.isdigit() else 0
