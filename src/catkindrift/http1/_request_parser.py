"""Parses requests from the bytes of a caller."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs
import httptools

from catkindrift.clock import Clock
from catkindrift.http1._head_collector import HeadCollector
from catkindrift.http1._request import CallerRequest
from catkindrift.http1._request_body import BodySource
from catkindrift.steering import CallerLimits


@final
@attrs.define(eq=False)
class RequestParser:
    """Turns bytes into requests; malformed or oversized ones are refused.

    Args:
        clock: Source of time.
        source: The caller's connection.
        limits: Returns the limits in force.
        on_request: Takes a request whose head is complete, and whether its
            connection may be kept.
        on_refusal: Takes the status that ends the connection, and whether it
            answers the request whose body is arriving.
    """

    _clock: Clock
    _source: BodySource
    _limits: Callable[[], CallerLimits]
    _on_request: Callable[[CallerRequest, bool], None]
    _on_error: Callable[[HTTPStatus, bool], None]
    _collector: HeadCollector = attrs.field(init=False)
    _parser: httptools.HttpRequestParser = attrs.field(init=False)
    _request: CallerRequest | None = attrs.field(init=False, default=None)
    _is_stopped: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        """Start with the first request."""
        self._collector = HeadCollector(self._clock, self._source)
        self._parser = httptools.HttpRequestParser(self)

    @property
    def has_partial_head(self) -> bool:
        """Return whether a head has arrived in part."""
        return self._collector.has_begun

    def set_caller(self, address: str) -> None:
        """Note the caller's IP number for the requests to come."""
        self._collector.caller = address

    def feed(self, chunk: bytes) -> None:
        """Parse bytes; nothing is read after a refusal."""
        if self._is_stopped:
            return
        self._collector.count_raw_bytes(len(chunk))
        rest = chunk
        while rest:
            rest = self._parse(rest)
        if self._collector.raw_bytes > self._limits().header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def check_head_timeout(self) -> None:
        """Refuse a head that takes too long to arrive."""
        if not self.has_partial_head:
            return
        if self._collector.age_ms > self._limits().header_timeout_ms:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)

    def stop(self) -> None:
        """Read nothing more."""
        self._is_stopped = True

    def on_message_begin(self) -> None:
        """Start the head of the next request."""
        self._collector.begin()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._collector.add_target(url)

    def on_header(self, name: bytes, found: bytes) -> None:
        """Collect a header."""
        self._collector.add_header(name, found)

    def on_headers_complete(self) -> None:
        """Hand on the request, or refuse it."""
        if self._is_stopped:
            return
        refusal = self._collector.check(self._limits())
        if refusal:
            self._reject(refusal)
            return
        self._request = self._collector.finish(self._parser.get_method())
        self._on_request(self._request, self._parser.should_keep_alive())

    def on_body(self, body: bytes) -> None:
        """Hand on a part of the body."""
        if self._request is None or self._is_stopped:
            return
        self._request.body.add_chunk(body)
        if self._request.body.received_bytes > self._limits().body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """End the body."""
        if self._request:
            self._request.body.finish()
            self._request = None

    def _parse(self, chunk: bytes) -> bytes:
        """Parse bytes and return those behind an offer of another protocol."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as offer:
            # An offer may be passed over; the next request follows it.
            return chunk[offer.args[0] :]
        except httptools.HttpParserError:
            self._reject(HTTPStatus.BAD_REQUEST)
        return b''

    def _reject(self, status: HTTPStatus) -> None:
        if not self._is_stopped:
            self._is_stopped = True
            self._on_error(status, self._request is not None)
