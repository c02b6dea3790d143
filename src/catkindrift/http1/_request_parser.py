"""Parser of the requests on a connection."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol, final

import attrs
import httptools

from catkindrift.clock import Clock
from catkindrift.http1._head_checks import OLD_VERSION
from catkindrift.http1._head_collector import (
    HeadCollector,
    body_too_large,
    head_too_large,
)
from catkindrift.http1._header_rules import HeaderRules
from catkindrift.http1._held_heads import HeadHolder, HeldHeads
from catkindrift.http1._line_ends import LineEnds
from catkindrift.http1._rejection import (
    RejectedRequest,
    Rejection,
    RejectionReason,
    bad_request,
)
from catkindrift.http1._request import CallerRequest
from catkindrift.http1._request_body import BodySource
from catkindrift.steering import CallerLimits

# Bytes that are parsed before limits are looked at again. Headers take many
# times their bytes once parsed.
_SLICE_BYTES = 2048
# The same within a body whose length is known.
_BODY_SLICE_BYTES = 65_536


class RequestSource(BodySource, HeadHolder, Protocol):
    """Connection that requests arrive on."""


@final
@attrs.define(eq=False, repr=False)
class RequestParser:
    """Parses bytes into requests and rejects invalid or oversized ones.

    Args:
        clock: Source of time.
        source: The caller's connection.
        rules: Rules for the headers of requests.
        limits: Returns the current limits.
        held: Memory that heads take on all connections.
        may_parse: Returns whether another request may be parsed now.
        on_request: Called with a request whose head is complete, whether the
            connection may be kept alive, and the memory that the head takes.
        on_error: Called with the request whose error response ends the
            connection, and whether its body was arriving.
    """

    _clock: Clock
    _source: RequestSource
    _rules: HeaderRules
    _limits: Callable[[], CallerLimits]
    _held: HeldHeads
    _may_parse: Callable[[], bool]
    _on_request: Callable[[CallerRequest, bool, int], None]
    _on_error: Callable[[RejectedRequest, bool], None]
    _collector: HeadCollector = attrs.field(init=False)
    _parser: httptools.HttpRequestParser = attrs.field(init=False)
    _line_ends: LineEnds = attrs.field(init=False)
    _request: CallerRequest | None = attrs.field(init=False, default=None)
    _is_stopped: bool = attrs.field(init=False, default=False)
    _is_last: bool = attrs.field(init=False, default=False)
    _awaits_body_parser: bool = attrs.field(init=False, default=False)
    _is_replaying: bool = attrs.field(init=False, default=False)
    _unparsed: bytes = attrs.field(init=False, default=b'')

    def __attrs_post_init__(self) -> None:
        """Create the parser."""
        self._collector = HeadCollector(self._clock, self._source, self._rules)
        self._parser = httptools.HttpRequestParser(self)
        self._line_ends = LineEnds(
            self._parse_all, lambda: self.has_partial_head
        )

    @property
    def has_partial_head(self) -> bool:
        """Return whether an incomplete head has arrived."""
        return self._collector.has_begun

    @property
    def has_unparsed_bytes(self) -> bool:
        """Return whether bytes are kept for `resume`."""
        return bool(self._unparsed)

    def set_caller(self, address: str) -> None:
        """Set the caller's IP address for the requests that follow."""
        self._collector.caller = address

    def feed(self, chunk: bytes) -> None:
        """Parse bytes; ignore them after an error.

        Bytes that may not be parsed yet are kept for `resume`.
        """
        self._unparsed += chunk
        self.resume()

    def resume(self) -> None:
        """Parse the bytes that were kept, as far as that is allowed now."""
        received = self._unparsed
        position = 0
        while position < len(received) and not self._is_stopped:
            if not self._may_parse():
                break
            end = position + self._slice_bytes()
            self._feed_slice(received[position:end])
            position = end
        self._unparsed = b'' if self._is_stopped else received[position:]
        self._held.set_partial(
            self._source, self._collector.held_bytes * self.has_partial_head
        )

    def check_head_timeout(self) -> None:
        """Reject a head that exceeds the header timeout."""
        if not self.has_partial_head:
            return
        if self._collector.age_ms > self._limits().header_timeout_ms:
            self._reject(
                Rejection(
                    HTTPStatus.REQUEST_TIMEOUT,
                    RejectionReason.HEAD_TIMEOUT,
                    'the head took too long',
                )
            )

    def refuse_partial_head(self) -> None:
        """Reject the head that is arriving, as heads take too much memory."""
        self._reject(
            Rejection(
                HTTPStatus.SERVICE_UNAVAILABLE,
                RejectionReason.MEMORY,
                'the heads that are arriving take too much memory',
            )
        )

    def stop(self) -> None:
        """Ignore all further input, and drop what is kept of it.

        A closed connection is part of reference cycles, so it lives on until
        the next garbage collection.
        """
        self._is_stopped = True
        self._unparsed = b''
        self._collector.clear()
        self._held.set_partial(self._source, 0)

    def stop_after_current(self) -> None:
        """Ignore all input after the request whose body is arriving."""
        self._is_last = True
        self._is_stopped = self._is_stopped or self._request is None

    def on_message_begin(self) -> None:
        """Start collecting the head of the next request."""
        if not self._is_replaying:
            self._collector.begin()

    def on_url(self, url: bytes) -> None:
        """Collect a chunk of the request target."""
        if not self._is_replaying:
            self._collector.add_target(url)

    def on_header(self, name: bytes, found: bytes) -> None:
        """Collect a header or drop a trailer."""
        self._collector.add_header(name, found)

    def on_headers_complete(self) -> None:
        """Check the head and pass the request to the callback."""
        if self._is_stopped or self._is_replaying:
            return
        version = self._parser.get_http_version()
        rejection = self._collector.check(self._limits(), version)
        if rejection:
            self._reject(rejection)
            return
        if self._held.is_full:
            self.refuse_partial_head()
            return
        held_bytes = self._collector.held_bytes
        self._request = self._collector.finish(
            self._parser.get_method(), version
        )
        keep_alive = version != OLD_VERSION and self._parser.should_keep_alive()
        # The parser takes the body for data of the other protocol.
        is_offer = self._parser.should_upgrade()
        self._awaits_body_parser = is_offer and not self._request.body.is_empty
        self._on_request(self._request, keep_alive, held_bytes)
        if not keep_alive:
            # What follows would run although it gets no response.
            self.stop_after_current()

    def on_body(self, body: bytes) -> None:
        """Append a chunk to the body, within the size limit."""
        if self._request is None or self._is_stopped:
            return
        self._request.body.add_chunk(body)
        if self._request.body.received_bytes > self._limits().body_bytes:
            self._reject(body_too_large(self._limits()))

    def on_message_complete(self) -> None:
        """Mark the body as complete."""
        if self._awaits_body_parser:
            return
        if self._request:
            self._request.body.finish()
            self._request = None
        self._is_stopped = self._is_stopped or self._is_last

    @property
    def _is_in_sized_body(self) -> bool:
        """Return whether bytes of a body of known length come next."""
        if self._request is None:
            return False
        body = self._request.body
        return not body.is_chunked and body.received_bytes < body.length

    def _slice_bytes(self) -> int:
        """Return how many bytes to parse before limits are looked at."""
        if self._request is None or not self._is_in_sized_body:
            return _SLICE_BYTES
        body = self._request.body
        return min(body.length - body.received_bytes, _BODY_SLICE_BYTES)

    def _feed_slice(self, piece: bytes) -> None:
        self._collector.count_raw_bytes(len(piece))
        if self._is_in_sized_body:
            # No head begins in it, so the ends of its lines don't matter.
            self._parse_all(piece)
        else:
            self._line_ends.feed(piece)
        if self._collector.raw_bytes > self._limits().header_bytes:
            self._reject(head_too_large(self._limits()))

    def _parse_all(self, chunk: bytes) -> None:
        rest = chunk
        while rest and not self._is_stopped:
            rest = self._parse(rest)

    def _parse(self, chunk: bytes) -> bytes:
        """Parse bytes and return those that follow an upgrade request."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as offer:
            # A server may ignore Upgrade; the body or the next request follows
            # the head (RFC 9110, section 7.8).
            if self._awaits_body_parser:
                self._replace_parser()
            return chunk[offer.args[0] :]
        except httptools.HttpParserError as error:
            self._reject(bad_request(RejectionReason.MALFORMED, str(error)))
        return b''

    def _replace_parser(self) -> None:
        """Continue with a parser that has read the framing of the body only."""
        self._awaits_body_parser = False
        if self._request is None:
            return
        body = self._request.body
        framing = (
            b'Transfer-Encoding: chunked'
            if body.is_chunked
            else b'Content-Length: %d' % body.length
        )
        self._parser = httptools.HttpRequestParser(self)
        self._is_replaying = True
        self._parser.feed_data(b'POST / HTTP/1.1\r\n%b\r\n\r\n' % framing)
        self._is_replaying = False

    def _reject(self, rejection: Rejection) -> None:
        if self._is_stopped:
            return
        self._is_stopped = True
        rejected = RejectedRequest(
            rejection, self._collector.headers, self._collector.caller
        )
        self._on_error(rejected, self._request is not None)
        self._collector.clear()
