"""Reads and writes the platform's request headers and queries."""

import re
from urllib.parse import parse_qs

import msgspec

from catkindrift.http1 import Headers, find_header
from catkindrift.platform._headers import (
    CREDENTIALS,
    DEADLINE,
    EXPECTED_UPSTREAM,
    OBJECT_COOKIE,
    REQUEST_ID,
    RETRY_AFTER,
    WORKSPACE,
)

_MILLISECONDS_PER_SECOND = 1000
# Latin-1 maps each byte to one character, so that header bytes which are not
# ASCII pass through unchanged (RFC 9110, section 5.5).
_ENCODING = 'latin-1'
# Longer than any key; longer values aren't searched.
_MAX_CREDENTIALS_BYTES = 4096
_BEARER = re.compile(rb'(?i:bearer) +(?P<key>[\w.~+/-]+=*)')


def request_id(headers: Headers) -> str:
    """Return the id of the caller's attempt, or '' if there is none."""
    return find_header(headers, REQUEST_ID).decode(_ENCODING)


def object_key(headers: Headers) -> str:
    """Return the key of the object that a request concerns, or ''."""
    for cookie in find_header(headers, b'cookie').split(b';'):
        name, _, key = cookie.strip().partition(b'=')
        if name == OBJECT_COOKIE:
            return key.decode(_ENCODING)
    return ''


def api_key(headers: Headers) -> bytes:
    """Return the API key of a request, empty bytes if it has no valid one.

    Credentials of another scheme, in several headers, or with bytes that no
    token may have (RFC 6750, section 2.1) are not valid.
    """
    stated = [each for name, each in headers if name.lower() == CREDENTIALS]
    if len(stated) != 1 or len(stated[0]) > _MAX_CREDENTIALS_BYTES:
        return b''
    found = _BEARER.fullmatch(stated[0].strip())
    return found['key'] if found else b''


def with_workspace(headers: Headers, name: str) -> Headers:
    """Return headers without credentials, and with a workspace's name.

    Args:
        headers: Headers of a caller, who may have sent either header.
        name: Name of the workspace; empty for a request without one.
    """
    kept = without_credentials(headers)
    if name:
        kept.append((WORKSPACE.title(), name.encode()))
    return kept


def without_credentials(headers: Headers) -> Headers:
    """Return headers without credentials and without a workspace's name."""
    return [
        each
        for each in headers
        if each[0].lower() not in {CREDENTIALS, WORKSPACE}
    ]


def remaining_ms(headers: Headers) -> int | None:
    """Return how long the caller still waits, or None if not stated."""
    deadline = find_header(headers, DEADLINE).strip()
    return int(deadline) if deadline.isdigit() else None


def with_deadline(headers: Headers, timeout_ms: int) -> Headers:
    """Return headers with the time in which the recipient has to respond."""
    replaced = [each for each in headers if each[0].lower() != DEADLINE]
    replaced.append((DEADLINE.title(), b'%d' % timeout_ms))
    return replaced


def forwarded_headers(
    headers: Headers,
    timeout_ms: int,
    upstream_id: str,
) -> Headers:
    """Return a caller's headers with deadline and upstream id replaced.

    Args:
        headers: End-to-end headers of the caller.
        timeout_ms: Time in which the upstream has to respond.
        upstream_id: Id of the only upstream that may run the request.
    """
    forwarded = [
        each
        for each in with_deadline(headers, timeout_ms)
        if each[0].lower() != EXPECTED_UPSTREAM
    ]
    forwarded.append((EXPECTED_UPSTREAM.title(), upstream_id.encode(_ENCODING)))
    return forwarded


def health_headers(host: str, port: int, upstream_id: str) -> Headers:
    """Return the headers of a health check for one upstream."""
    return [
        (b'Host', f'{host}:{port}'.encode()),
        (EXPECTED_UPSTREAM.title(), upstream_id.encode(_ENCODING)),
    ]


def retry_after(wait_ms: float) -> tuple[bytes, bytes]:
    """Return the header that tells a caller when to retry.

    The platform's value may be a fraction of a second.
    """
    return (RETRY_AFTER, b'%.3f' % (wait_ms / _MILLISECONDS_PER_SECOND))


def caller_location(query: bytes) -> tuple[str, str]:
    """Return the availability zone and region in a directory query.

    Either is '' if the caller does not state it.
    """
    fields = parse_qs(query.decode(_ENCODING))
    zone = fields.get('zone', [''])[0]
    region = fields.get('region', [''])[0]
    return zone, region


def directory_body(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the body of a directory response.

    Args:
        addresses: Addresses of entry VMs, as HOST:PORT.
        lifetime_s: How long the caller may cache them.
    """
    return msgspec.json.encode({'addresses': addresses, 'ttl_s': lifetime_s})
