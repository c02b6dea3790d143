"""A caller's request to a service."""

from typing import final

import attrs
import xxhash

from catkindrift.blame import BODY_PREFIX_BYTES, request_fingerprint
from catkindrift.callers._bad_request import BadRequestError
from catkindrift.callers._problem_response import bad_request
from catkindrift.callers._read_body import read_body, read_prefix
from catkindrift.callers._time_limits import TimeLimits
from catkindrift.core import Request
from catkindrift.http1 import CallerRequest

# Bodies up to this size enter the content digest whole. The digest of a larger
# one has its length and the caller instead.
_MAX_BUFFERED_BODY_BYTES = 262_144
_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.frozen(eq=False)
class ServiceRequest:
    """A request to a service, as it is forwarded and decided on.

    Args:
        service: Name of the requested service.
        target: Path and query below the service.
        message: Head, and body as it arrives.
        buffered_body: The whole body if it is small, otherwise None.
        body_prefix: First bytes of the body, for the fingerprint.
        timeout_ms: Timeout that the caller set; 0 for none.
    """

    service: str
    target: bytes
    message: CallerRequest
    buffered_body: bytes | None
    body_prefix: bytes
    timeout_ms: int

    @property
    def can_resend(self) -> bool:
        """Return whether the whole request can be sent again."""
        return self.message.body.can_replay

    @property
    def caller(self) -> str:
        """Return a digest of the caller's identity."""
        identity = self.message.header(b'authorization')
        return xxhash.xxh3_128_hexdigest(
            identity or self.message.caller.encode(),
        )

    def to_core_request(self, request_id: int) -> Request:
        """Return the request as the core sees it.

        Args:
            request_id: Unique in this process.
        """
        message = self.message
        is_buffered = self.buffered_body is not None
        deadline_ms = 0
        if self.timeout_ms:
            deadline_ms = message.arrived_ms + self.timeout_ms
        key = message.header(b'idempotency-key')
        body = message.body
        return Request(
            request_id=request_id,
            service=self.service,
            caller=self.caller,
            method=message.method.decode('latin-1'),
            fingerprint=request_fingerprint(
                self.caller,
                f'{self.service} '.encode() + self.target,
                self.body_prefix,
            ),
            deadline_ms=deadline_ms,
            body_bytes=None if body.is_chunked else body.length,
            is_body_buffered=is_buffered,
            idempotency_key=key.decode('latin-1'),
            content_digest=self._content_digest(),
        )

    def _content_digest(self) -> str:
        """Return the digest that distinguishes this request from others.

        It detects an idempotency key that is reused for another request.
        """
        digest = xxhash.xxh3_128(self.message.method)
        digest.update(f' {self.service}'.encode())
        digest.update(self.target)
        if self.buffered_body is None:
            digest.update(f'{self.caller} {self.message.body.length}'.encode())
        else:
            digest.update(self.buffered_body)
        return digest.hexdigest()


def read_head(
    message: CallerRequest,
    service: str,
    target: bytes,
) -> ServiceRequest:
    """Return a request without its body.

    Args:
        message: Head, and body as it arrives.
        service: Name of the requested service.
        target: Path and query below the service.

    Raises:
        BadRequestError: A header is malformed.
    """
    return ServiceRequest(
        service, target, message, None, b'', _timeout_ms(message)
    )


async def with_body(
    request: ServiceRequest, limits: TimeLimits
) -> ServiceRequest:
    """Return a request with its body if that is small.

    Args:
        request: The request without its body.
        limits: Limit the time to wait for it.

    Raises:
        BadRequestError: The body does not arrive.
    """
    message = request.message
    body = message.body
    buffered: bytes | None = None
    if not body.is_chunked and body.length <= _MAX_BUFFERED_BODY_BYTES:
        buffered = await read_body(message, _MAX_BUFFERED_BODY_BYTES, limits)
    return attrs.evolve(
        request,
        buffered_body=buffered,
        body_prefix=await _body_prefix(message, buffered, limits),
    )


async def _body_prefix(
    message: CallerRequest, buffered: bytes | None, limits: TimeLimits
) -> bytes:
    """Return the first part of the body.

    If the caller waits for `100 Continue` before it sends a large body, only
    its length is known; return the length instead.
    """
    body = message.body
    if buffered is not None:
        return buffered[:BODY_PREFIX_BYTES]
    if body.expects_continue:
        return str(body.length).encode()
    return await read_prefix(message, BODY_PREFIX_BYTES, limits)


def _timeout_ms(message: CallerRequest) -> int:
    text = message.header(b'request-timeout')
    if not text:
        return 0
    try:
        timeout_ms = round(float(text) * _MILLISECONDS_PER_SECOND)
    except (ValueError, OverflowError):
        timeout_ms = 0
    if timeout_ms < 1:
        raise BadRequestError(
            bad_request(
                'malformed_timeout',
                'Request-Timeout is not a positive number; send seconds',
            ),
        )
    return timeout_ms
