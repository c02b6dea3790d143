"""Header lists, and the hop-by-hop headers of a connection."""

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

# Headers of RFC 9110, section 7.6.1, older ones that senders still use, and
# Expect, which the server handles itself.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Return the first value of a header, or empty bytes.

    Args:
        headers: Names and values as received.
        name: Name in lower case.
    """
    for key, found in headers:
        if key.lower() == name:
            return found
    return b''


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that may be forwarded.

    Leaves out hop-by-hop headers and those that Connection names.
    """
    named = find_header(headers, b'connection').lower().split(b',')
    dropped = _HOP_BY_HOP.union(name.strip() for name in named)
    return [each for each in headers if each[0].lower() not in dropped]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the encoded head of a message, up to the empty line.

    Args:
        first_line: Request line or status line without its line end.
        headers: Names and values.
    """
    lines = [first_line]
    lines.extend(b'%b: %b' % header for header in headers)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def without_framing(headers: Headers) -> Headers:
    """Return the end-to-end headers without Content-Length."""
    return [
        each
        for each in end_to_end(headers)
        if each[0].lower() != b'content-length'
    ]


def body_length(headers: Headers) -> int | None:
    """Return the value of Content-Length, or None if absent or invalid."""
    stated = find_header(headers, b'content-length')
    return int(stated) if stated.isdigit() else None
