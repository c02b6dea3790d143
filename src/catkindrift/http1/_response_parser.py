"""Parser of the responses on a client connection."""

from typing import final

import attrs
import httptools

from catkindrift.http1._failure import ResponseFailure
from catkindrift.http1._headers import (
    BLANKS,
    Headers,
    connection_options,
    find_header,
)
from catkindrift.http1._line_ends import LineEnds
from catkindrift.http1._receiver import ResponseReceiver
from catkindrift.http1._response_head import ResponseHead

_FIRST_FINAL_STATUS = 200
_CHUNKED = b'chunked'
# Statuses of responses without a body (RFC 9110, section 6.4.1).
_BODILESS_STATUSES = frozenset((204, 304))
_MILLISECONDS_PER_SECOND = 1000
# Limit on heads, interim responses, chunk sizes, trailers and responses to
# other requests, between bytes of the body.
_MAX_OVERHEAD_BYTES = 262_144


@final
@attrs.define(eq=False, repr=False)
class ResponseParser:
    """Parses the response to one request into its receiver.

    Responses to other requests are ignored, and the connection that carried
    them must not be reused.

    Args:
        receiver: Receives the response.
        is_head_request: Whether the request is HEAD, so that the response has
            no body.
    """

    _receiver: ResponseReceiver
    _is_head_request: bool
    prevents_reuse: bool = attrs.field(init=False, default=False)
    keep_alive_ms: int | None = attrs.field(init=False, default=None)
    _parser: httptools.HttpResponseParser = attrs.field(init=False)
    _line_ends: LineEnds = attrs.field(init=False)
    _headers: Headers = attrs.field(init=False, factory=list)
    _is_in_head: bool = attrs.field(init=False, default=False)
    _has_other_coding: bool = attrs.field(init=False, default=False)
    _is_accepted: bool = attrs.field(init=False, default=False)
    _overhead_bytes: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        """Create the parser."""
        self._parser = httptools.HttpResponseParser(self)
        self._line_ends = LineEnds(self._parse, lambda: self._is_in_head)

    def feed(self, chunk: bytes) -> None:
        """Parse bytes of the response."""
        self._overhead_bytes += len(chunk)
        self._line_ends.feed(chunk)
        if self._overhead_bytes > _MAX_OVERHEAD_BYTES:
            self._fail_as_malformed()

    def feed_eof(self) -> None:
        """Complete a response that is delimited by the close."""
        if self._is_accepted and self._receiver.ends_with_close:
            self._receiver.complete()

    def connection_lost(self) -> None:
        """Fail a response that is incomplete."""
        self._receiver.fail(
            ResponseFailure.TRUNCATED
            if self._is_accepted
            else ResponseFailure.CLOSED,
        )

    def on_message_begin(self) -> None:
        """Reset the state for the next response."""
        self._headers = []
        self._is_in_head = True
        self._has_other_coding = False
        self._is_accepted = False
        self.prevents_reuse = self.prevents_reuse or self._receiver.has_ended

    def on_header(self, name: bytes, found: bytes) -> None:
        """Collect a header; drop a trailer (RFC 9110, section 6.5.1)."""
        if not self._is_in_head:
            return
        self._headers.append((name, found.strip(BLANKS)))
        if name.lower() == b'transfer-encoding':
            is_chunked = found.strip(BLANKS).lower() == _CHUNKED
            self._has_other_coding = self._has_other_coding or not is_chunked

    def on_headers_complete(self) -> None:
        """Check that the response matches the request, and how it ends."""
        self._is_in_head = False
        if self._has_other_coding:
            self._fail_as_malformed()
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or self._receiver.has_ended:
            return
        self._is_accepted = self._receiver.accept_head(
            ResponseHead(status, self._headers),
        )
        self._read_connection_headers()
        if not self._is_accepted:
            self.prevents_reuse = True
        elif self._is_head_request:
            self.prevents_reuse = True
            self._receiver.complete()
        if self._is_accepted:
            self._receiver.ends_with_close = self._ends_with_close(status)

    def on_body(self, body: bytes) -> None:
        """Pass a chunk of the body to the receiver."""
        if self._is_accepted and not self._receiver.has_ended:
            self._receiver.add_chunk(body)
            self._overhead_bytes = 0

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._is_accepted and not self._receiver.has_ended:
            self._receiver.complete()

    def _parse(self, chunk: bytes) -> None:
        try:
            self._parser.feed_data(chunk)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._fail_as_malformed()

    def _fail_as_malformed(self) -> None:
        self.prevents_reuse = True
        self._receiver.fail(ResponseFailure.MALFORMED)

    def _ends_with_close(self, status: int) -> bool:
        """Return whether the body ends with the connection."""
        return not (
            self._is_head_request
            or status in _BODILESS_STATUSES
            or find_header(self._headers, b'content-length')
            or find_header(self._headers, b'transfer-encoding')
        )

    def _read_connection_headers(self) -> None:
        is_closed = b'close' in connection_options(self._headers)
        if is_closed or not self._parser.should_keep_alive():
            self.prevents_reuse = True
        stated = find_header(self._headers, b'keep-alive')
        self.keep_alive_ms = _keep_alive_ms(stated)


def _keep_alive_ms(found: bytes) -> int | None:
    for option in found.split(b','):
        name, _, number = option.strip().partition(b'=')
        if name == b'timeout' and number.isdigit():
            return int(number) * _MILLISECONDS_PER_SECOND
    return None
