"""Collector for the head of a request."""

from http import HTTPStatus
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.http1._head_checks import (
    OLD_VERSION,
    check_headers,
    check_version,
)
from catkindrift.http1._header_rules import HeaderRules
from catkindrift.http1._headers import BLANKS, Headers, find_header
from catkindrift.http1._rejection import (
    Rejection,
    RejectionReason,
    bad_request,
)
from catkindrift.http1._request import CallerRequest
from catkindrift.http1._request_body import BodySource, RequestBody
from catkindrift.http1._request_target import RequestTarget, check_target
from catkindrift.steering import CallerLimits

# Colon, space, CR and LF around a header's name and value.
_HEADER_OVERHEAD_BYTES = 4
# Objects that hold one header once it is parsed: a tuple, two byte strings
# and a place in the list.
_HEADER_OBJECT_BYTES = 160
_CONTINUE = b'100-continue'


@final
@attrs.define(eq=False, repr=False)
class HeadCollector:
    """Collects and checks the head of the request that is arriving.

    Args:
        clock: Source of time.
        source: The caller's connection.
        rules: Rules for headers.
    """

    _clock: Clock
    _source: BodySource
    _rules: HeaderRules
    caller: str = attrs.field(init=False, default='')
    has_begun: bool = attrs.field(init=False, default=False)
    raw_bytes: int = attrs.field(init=False, default=0)
    _target: bytes = attrs.field(init=False, default=b'')
    _headers: Headers = attrs.field(init=False, factory=list)
    _size: int = attrs.field(init=False, default=0)
    _began_ms: int = attrs.field(init=False, default=0)

    @property
    def headers(self) -> Headers:
        """Return the headers that have arrived."""
        return self._headers

    @property
    def held_bytes(self) -> int:
        """Return the memory that the head takes."""
        return self._size + len(self._headers) * _HEADER_OBJECT_BYTES

    @property
    def age_ms(self) -> int:
        """Return the milliseconds since the head began to arrive."""
        return self._clock.now_ms() - self._began_ms

    def count_raw_bytes(self, size: int) -> None:
        """Count received bytes while the head is incomplete."""
        if self.has_begun:
            self.raw_bytes += size

    def begin(self) -> None:
        """Start collecting the head of the next request."""
        self.has_begun = True
        self.raw_bytes = 0
        self._target = b''
        self._headers = []
        self._size = 0
        self._began_ms = self._clock.now_ms()

    def clear(self) -> None:
        """Drop what has arrived of a head that is rejected."""
        self._target = b''
        self._headers = []
        self._size = 0

    def add_target(self, chunk: bytes) -> None:
        """Append a chunk of the request target."""
        self._target += chunk
        self._size += len(chunk)

    def add_header(self, name: bytes, found: bytes) -> None:
        """Append a header; drop a trailer (RFC 9110, section 6.5.1)."""
        if not self.has_begun:
            return
        self._headers.append((name, found.strip(BLANKS)))
        self._size += len(name) + len(found) + _HEADER_OVERHEAD_BYTES

    def check(self, limits: CallerLimits, version: str) -> Rejection | None:
        """Return why the head is rejected, or None if it is valid.

        Args:
            limits: Limits on the request.
            version: Version of HTTP, as `1.1`.
        """
        if self._size > limits.header_bytes:
            return head_too_large(limits)
        return (
            check_version(self._headers, version)
            or self._check_framing(limits)
            or check_headers(self._headers, self._rules, version)
            or check_target(self._target, self._headers)
        )

    def finish(self, method: bytes, version: str) -> CallerRequest:
        """Return the request; its body has yet to arrive.

        Args:
            method: HTTP method.
            version: Version of HTTP, as `1.1`.
        """
        self.has_begun = False
        self.raw_bytes = 0
        target = RequestTarget.parse(self._target)
        if target is None:
            raise ValueError('a head that was rejected has no request')
        length = find_header(self._headers, b'content-length')
        coding = find_header(self._headers, b'transfer-encoding')
        return CallerRequest(
            method=method,
            target=target.origin,
            path=target.path,
            query=target.query,
            headers=self._rules.without_reserved(self._headers),
            body=RequestBody(
                self._source,
                bool(coding),
                int(length or 0),
                self._expects_continue(version),
            ),
            arrived_ms=self._clock.now_ms(),
            caller=self.caller,
            takes_chunks=version != OLD_VERSION,
        )

    def _expects_continue(self, version: str) -> bool:
        expected = find_header(self._headers, b'expect').lower()
        return expected == _CONTINUE and version != OLD_VERSION

    def _check_framing(self, limits: CallerLimits) -> Rejection | None:
        reason = RejectionReason.FRAMING
        coding = find_header(self._headers, b'transfer-encoding')
        length = find_header(self._headers, b'content-length')
        if coding and length:
            return bad_request(reason, 'both codings and a length')
        if coding and coding.strip().lower() != b'chunked':
            return bad_request(reason, 'a transfer coding other than chunked')
        if length and not length.strip().isdigit():
            return bad_request(reason, 'the length is not a number')
        if length and int(length) > limits.body_bytes:
            return body_too_large(limits)
        return None


def head_too_large(limits: CallerLimits) -> Rejection:
    """Return the rejection of a head above the limit."""
    return Rejection(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        RejectionReason.HEAD_SIZE,
        f'the head has over {limits.header_bytes} bytes',
    )


def body_too_large(limits: CallerLimits) -> Rejection:
    """Return the rejection of a body above the limit."""
    return Rejection(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        RejectionReason.BODY_SIZE,
        f'the body has over {limits.body_bytes} bytes',
    )
