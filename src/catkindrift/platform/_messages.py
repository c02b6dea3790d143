"""Reads and writes what the platform puts into headers and queries."""

from urllib.parse import parse_qs

import msgspec

from catkindrift.http1 import Headers, ResponseHead, find_header
from catkindrift.platform._headers import (
    COLD_LEFT,
    DEADLINE,
    EXPECTED_UPSTREAM,
    LOAD,
    NOT_RUN,
    OBJECT_COOKIE,
    REQUEST_ID,
    RETRY_AFTER,
    SIGNATURE,
)
from catkindrift.steering import LoadReport

_MILLISECONDS_PER_SECOND = 1000
_MISDIRECTED = 421
_LOAD_PARTS = 3


def request_id(headers: Headers) -> str:
    """Return the id of the caller's attempt, or nothing."""
    return find_header(headers, REQUEST_ID).decode('latin-1')


def object_key(headers: Headers) -> str:
    """Return the object that a request is about, or nothing."""
    for cookie in find_header(headers, b'cookie').split(b';'):
        name, _, found = cookie.strip().partition(b'=')
        if name == OBJECT_COOKIE:
            return found.decode('latin-1')
    return ''


def remaining_ms(headers: Headers) -> int | None:
    """Return how long the caller waits, or nothing if it does not say."""
    found = find_header(headers, DEADLINE).strip()
    return int(found) if found.isdigit() else None


def forwarded_headers(
    headers: Headers,
    left_ms: int,
    upstream_id: str,
) -> Headers:
    """Return a caller's headers with those that the system sets.

    Args:
        headers: End-to-end headers of the caller.
        left_ms: Time left for the upstream.
        upstream_id: The only upstream that may run the request.
    """
    replaced = (DEADLINE, EXPECTED_UPSTREAM)
    kept = [each for each in headers if each[0].lower() not in replaced]
    kept.append((DEADLINE.title(), b'%d' % left_ms))
    kept.append((EXPECTED_UPSTREAM.title(), upstream_id.encode('latin-1')))
    return kept


def retry_after(wait_ms: float) -> tuple[bytes, bytes]:
    """Return the header that tells a caller when to come back."""
    return (RETRY_AFTER, b'%.3f' % (wait_ms / _MILLISECONDS_PER_SECOND))


def answers_request(head: ResponseHead, attempt: str) -> bool:
    """Return whether a response belongs to the attempt that was sent."""
    return request_id(head.headers) in {'', attempt}


def is_signed(head: ResponseHead, attempt: str) -> bool:
    """Return whether an upstream itself made the response to the attempt."""
    has_id = request_id(head.headers) == attempt
    return has_id and bool(find_header(head.headers, SIGNATURE))


def says_not_run(head: ResponseHead) -> bool:
    """Return whether the upstream states that it did not run the request."""
    is_marked = bool(find_header(head.headers, NOT_RUN))
    return is_marked or head.status == _MISDIRECTED


def is_misdirected(head: ResponseHead) -> bool:
    """Return whether another upstream has the address by now."""
    return head.status == _MISDIRECTED


def load_report(head: ResponseHead) -> LoadReport | None:
    """Return the load that an upstream states, if it does."""
    parts = find_header(head.headers, LOAD).split(b',')
    if len(parts) != _LOAD_PARTS or not all(each.isdigit() for each in parts):
        return None
    running, waiting, slots = (int(each) for each in parts)
    return LoadReport(running, waiting, slots)


def cold_left_ms(head: ResponseHead) -> int:
    """Return how much longer the upstream says that it is cold."""
    found = find_header(head.headers, COLD_LEFT).strip()
    return int(found) if found.isdigit() else 0


def caller_place(query: bytes) -> tuple[str, str]:
    """Return zone and region of the caller who asks where to connect."""
    asked = parse_qs(query.decode('latin-1'))
    zone = asked.get('zone', [''])[0]
    region = asked.get('region', [''])[0]
    return zone, region


def directory_body(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the answer that tells a caller where to connect."""
    return msgspec.json.encode({'addresses': addresses, 'ttl_s': lifetime_s})
