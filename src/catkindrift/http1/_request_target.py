"""Targets of requests."""

import re
from typing import Self, final

import attrs
import httptools

from catkindrift.http1._headers import Headers, find_header
from catkindrift.http1._rejection import (
    Rejection,
    RejectionReason,
    bad_request,
)

_AFTER_AUTHORITY = re.compile(rb'[/?]')
_SCHEMES = frozenset((b'http', b'https'))


@final
@attrs.frozen
class RequestTarget:
    """Target of a request in origin form (RFC 9112, section 3.2.1).

    Args:
        origin: Path and query, as received.
        path: Path, without the query.
        query: Query, without the question mark.
        authority: Authority of a target in absolute form; empty if the target
            was received in origin form.
    """

    origin: bytes
    path: str
    query: bytes
    authority: bytes

    @classmethod
    def parse(cls, target: bytes) -> Self | None:
        """Return the parts of a target; None if it is not valid.

        Args:
            target: Request target as received.
        """
        try:
            parsed = httptools.parse_url(target)
        except httptools.HttpParserInvalidURLError:
            return None
        if parsed.fragment is not None or b'#' in target:
            return None
        path = parsed.path
        authority = b''
        origin = target
        if parsed.schema:
            if parsed.schema.lower() not in _SCHEMES:
                return None
            # An empty path is the same as `/` (RFC 9110, section 4.2.3).
            path = path or b'/'
            after_scheme = target.partition(b'//')[2]
            authority = _AFTER_AUTHORITY.split(after_scheme, maxsplit=1)[0]
            origin = b'/%b' % after_scheme[len(authority) :].removeprefix(b'/')
        if not path:
            return None
        return cls(
            origin,
            path.decode('latin-1'),
            parsed.query or b'',
            authority,
        )


def check_target(target: bytes, headers: Headers) -> Rejection | None:
    """Return why the target of a request is rejected, or None.

    The authority of an absolute target would replace Host (RFC 9112, section
    3.2.2). If they differ, recipients may choose either.

    Args:
        target: Request target as received.
        headers: Names and values as received.
    """
    parsed = RequestTarget.parse(target)
    if parsed is None:
        return bad_request(
            RejectionReason.TARGET, 'the request target has no path'
        )
    host = find_header(headers, b'host').strip()
    if parsed.authority and parsed.authority.lower() != host.lower():
        return bad_request(
            RejectionReason.TARGET, 'the request target names another host'
        )
    return None
