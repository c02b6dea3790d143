"""Header lists."""

from collections.abc import Iterable
from typing import Final

Headers = list[tuple[bytes, bytes]]
# Around a value they don't belong to it (RFC 9110, section 5.5); the parser
# leaves those behind it.
BLANKS: Final = b' \t'


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


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the options of all Connection headers, in lower case.

    Args:
        headers: Names and values as received.
    """
    return frozenset(
        option.strip().lower()
        for name, found in headers
        if name.lower() == b'connection'
        for option in found.split(b',')
    )


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


def body_length(headers: Headers) -> int | None:
    """Return the value of Content-Length, or None if absent or invalid."""
    stated = find_header(headers, b'content-length')
    return int(stated) if stated.isdigit() else None
