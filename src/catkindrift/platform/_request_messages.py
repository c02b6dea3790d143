"""Reads and writes what the platform puts into requests and queries."""

from urllib.parse import parse_qs

import msgspec

from catkindrift.http1 import Headers, find_header
from catkindrift.platform._headers import (
    DEADLINE,
    EXPECTED_UPSTREAM,
    OBJECT_COOKIE,
    REQUEST_ID,
    RETRY_AFTER,
)

_MILLISECONDS_PER_SECOND = 1000
# Header bytes keep their values, whatever they mean (RFC 9110, section 5.5).
_ENCODING = 'latin-1'


def request_id(headers: Headers) -> str:
    """Return the id of the caller's attempt, or nothing."""
    return find_header(headers, REQUEST_ID).decode(_ENCODING)


def object_key(headers: Headers) -> str:
    """Return the object that a request is about, or nothing."""
    for cookie in find_header(headers, b'cookie').split(b';'):
        name, _, found = cookie.strip().partition(b'=')
        if name == OBJECT_COOKIE:
            return found.decode(_ENCODING)
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
    kept.append((EXPECTED_UPSTREAM.title(), upstream_id.encode(_ENCODING)))
    return kept


def health_headers(host: str, port: int, upstream_id: str) -> Headers:
    """Return the headers of a health check that is meant for one upstream."""
    return [
        (b'Host', f'{host}:{port}'.encode()),
        (EXPECTED_UPSTREAM.title(), upstream_id.encode(_ENCODING)),
    ]


def retry_after(wait_ms: float) -> tuple[bytes, bytes]:
    """Return the header that tells a caller when to come back."""
    return (RETRY_AFTER, b'%.3f' % (wait_ms / _MILLISECONDS_PER_SECOND))


def caller_location(query: bytes) -> tuple[str, str]:
    """Return zone and region of the caller who asks where to connect."""
    asked = parse_qs(query.decode(_ENCODING))
    zone = asked.get('zone', [''])[0]
    region = asked.get('region', [''])[0]
    return zone, region


def directory_body(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the answer that tells a caller where to connect."""
    return msgspec.json.encode({'addresses': addresses, 'ttl_s': lifetime_s})
