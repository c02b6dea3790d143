"""A caller's HTTP request."""

from http import HTTPStatus
from typing import Any, final

import attrs
import xxhash

from catkindrift.callers._body import HELD_BODY_BYTES, Body, StreamedBody
from catkindrift.serving import Problem

_MILLISECONDS_PER_SECOND = 1000
_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    ),
)
_TIMEOUT_HEADER = 'HTTP_REQUEST_TIMEOUT'


class BadRequestError(Exception):
    """A request that is refused before any decision.

    Args:
        problem: The answer.
    """

    def __init__(self, problem: Problem) -> None:
        """Keep the answer."""
        super().__init__(problem.detail)
        self.problem = problem


@final
@attrs.frozen
class CallerRequest:
    """What is passed on to an upstream.

    Args:
        service: Service that the caller named.
        target: Path and query below the service.
        method: HTTP method.
        headers: End-to-end headers.
        body: The body, held in memory when it is small.
        length: Length of the body; nothing when it is chunked.
        caller: Digest of the caller's identity.
        timeout_ms: Time limit that the caller set; 0 for none.
    """

    service: str
    target: str
    method: str
    headers: tuple[tuple[str, str], ...]
    body: Body
    length: int | None
    caller: str
    timeout_ms: int
    idempotency_key: str

    @property
    def is_held(self) -> bool:
        """Return whether the whole body is in memory."""
        return isinstance(self.body, bytes)

    @property
    def fingerprint(self) -> str:
        """Return the digest that tells this request from others."""
        digest = xxhash.xxh3_128(f'{self.method} {self.service}'.encode())
        digest.update(self.target.encode())
        if isinstance(self.body, bytes):
            digest.update(self.body)
        else:
            digest.update(f'{self.caller} {self.length}'.encode())
        return digest.hexdigest()


def read_request(environ: Any, service: str, target: str) -> CallerRequest:
    """Read a request from its WSGI environment.

    Raises:
        BadRequestError: Its framing is ambiguous or a header is malformed.
    """
    length = _length(environ)
    headers = tuple(
        (name, text)
        for name, text in _headers(environ)
        if name not in _hop_headers(environ)
    )
    return CallerRequest(
        service=service,
        target=target,
        method=environ['REQUEST_METHOD'],
        headers=headers,
        body=_body(environ, length),
        length=length,
        caller=_caller(environ),
        timeout_ms=_timeout_ms(environ),
        idempotency_key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
    )


def _length(environ: Any) -> int | None:
    encoding = environ.get('HTTP_TRANSFER_ENCODING', '')
    text = environ.get('CONTENT_LENGTH') or ''
    if encoding and text:
        raise _bad_request(
            'ambiguous_framing',
            'the request has both Content-Length and Transfer-Encoding; send '
            'one of them',
        )
    if encoding:
        return None
    if text and not text.isdigit():
        raise _bad_request(
            'malformed_length',
            'Content-Length is not a number; send the length in bytes',
        )
    return int(text or 0)


def _body(environ: Any, length: int | None) -> Body:
    source = environ['wsgi.input']
    if length is None or length > HELD_BODY_BYTES:
        return StreamedBody(source, length)
    if not length:
        return b''
    held = bytes(source.read(length))
    if len(held) < length:
        raise _bad_request(
            'short_body',
            'the body is shorter than Content-Length; send it whole',
        )
    return held


def _headers(environ: Any) -> list[tuple[str, str]]:
    headers = [
        (key.removeprefix('HTTP_').replace('_', '-').lower(), text)
        for key, text in environ.items()
        if key.startswith('HTTP_')
    ]
    if environ.get('CONTENT_TYPE'):
        headers.append(('content-type', environ['CONTENT_TYPE']))
    return headers


def _hop_headers(environ: Any) -> frozenset[str]:
    named = environ.get('HTTP_CONNECTION', '').lower().split(',')
    return _HOP_HEADERS | {name.strip() for name in named}


def _caller(environ: Any) -> str:
    identity = environ.get('HTTP_AUTHORIZATION') or environ['REMOTE_ADDR']
    return xxhash.xxh3_128_hexdigest(identity.encode())


def _timeout_ms(environ: Any) -> int:
    text = environ.get(_TIMEOUT_HEADER, '')
    if not text:
        return 0
    try:
        timeout_ms = round(float(text) * _MILLISECONDS_PER_SECOND)
    except ValueError:
        timeout_ms = 0
    if timeout_ms < 1:
        raise _bad_request(
            'malformed_timeout',
            'Request-Timeout is not a positive number; send seconds',
        )
    return timeout_ms


def _bad_request(reason: str, detail: str) -> BadRequestError:
    return BadRequestError(
        Problem(
            HTTPStatus.BAD_REQUEST,
            reason,
            detail,
            outcome='not_run',
            closes=True,
        ),
    )
