"""Checks of the headers of a request."""

import re
from typing import Final

from catkindrift.http1._header_rules import HeaderRules
from catkindrift.http1._headers import Headers, find_header
from catkindrift.http1._rejection import (
    Rejection,
    RejectionReason,
    bad_request,
)

_ENCODING = 'latin-1'
# Its requests may have no Host, its callers know no transfer codings, and a
# proxy keeps no connections to them (RFC 9112, appendix C.2.2).
OLD_VERSION: Final = '1.0'
_VERSIONS = frozenset((OLD_VERSION, '1.1'))
# Host and port as of RFC 3986, sections 3.2.2 and 3.2.3.
_HOST = re.compile(
    rb"""(?:\[[\w.:~!$&'()*+,;=-]+\]  # address of IPv6 or later
         |(?:[\w.~!$&'()*+,;=-]|%[\da-f]{2})*)
         (?::\d*)?""",
    re.ASCII | re.IGNORECASE | re.VERBOSE,
)


def check_version(headers: Headers, version: str) -> Rejection | None:
    """Return why the version of a request is rejected, or None.

    Args:
        headers: Names and values as received.
        version: Version of HTTP, as `1.1`.
    """
    if version not in _VERSIONS:
        return bad_request(RejectionReason.VERSION, f'version {version}')
    is_coded = bool(find_header(headers, b'transfer-encoding'))
    if is_coded and version == OLD_VERSION:
        # RFC 9112, section 6.1.
        return bad_request(
            RejectionReason.FRAMING, f'a transfer coding in version {version}'
        )
    return None


def check_headers(
    headers: Headers, rules: HeaderRules, version: str
) -> Rejection | None:
    """Return why the headers of a request are rejected, or None.

    Args:
        headers: Names and values as received.
        rules: Which headers may be repeated.
        version: Version of HTTP, as `1.1`.
    """
    repeated = rules.repeated_header(headers)
    if repeated:
        return bad_request(
            RejectionReason.REPEATED_HEADER,
            f'two lines of {repeated.decode(_ENCODING)}',
        )
    return _check_host(headers, version)


def _check_host(headers: Headers, version: str) -> Rejection | None:
    hosts = [each for name, each in headers if name.lower() == b'host']
    if not hosts and version == OLD_VERSION:
        return None
    if hosts and _HOST.fullmatch(hosts[0].strip()):
        return None
    return bad_request(
        RejectionReason.HOST, 'Host is missing, or not a host and port'
    )
