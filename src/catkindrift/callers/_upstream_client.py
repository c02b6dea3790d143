"""Attempts at upstreams."""

import time
from typing import final

import attrs
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from catkindrift.callers._body import CallerBodyError, StreamedBody
from catkindrift.callers._caller_request import CallerRequest
from catkindrift.callers._checked_response import CheckedConnection
from catkindrift.core import Dispatch
from catkindrift.domain import Vm
from catkindrift.retries import (
    AttemptResult,
    Broken,
    BrokenReason,
    CallerGone,
    NotStarted,
    NotStartedReason,
)

OUTCOME_HEADER = 'Catkindrift-Outcome'
STATE_HEADER = 'Catkindrift-State'
BUSY_HEADER = 'Catkindrift-Busy-Slots'
LEAVING = 'leaving'
_NOT_RUN = 'not_run'
_MILLISECONDS_PER_SECOND = 1000
_CONNECT_SECONDS = 1.0
_CONNECTIONS = 32
_NO_BODY_STATUSES = frozenset((204, 304))


class _CheckedPool(urllib3.HTTPConnectionPool):
    """Connections that are checked for surplus bytes."""

    ConnectionCls = CheckedConnection


@final
@attrs.frozen
class OpenAnswer:
    """An answer whose headers have arrived.

    Args:
        response: The response; its body is still to be read.
        latency_ms: Time from the start of the attempt to the headers.
    """

    response: urllib3.BaseHTTPResponse
    latency_ms: float

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream says that it is leaving."""
        return self.response.headers.get(STATE_HEADER) == LEAVING

    @property
    def busy_slots(self) -> int:
        """Return the slots in use as the upstream reports them."""
        text = self.response.headers.get(BUSY_HEADER, '')
        return int(text) if text.isdigit() else 0


@final
@attrs.define(eq=False)
class UpstreamClient:
    """Sends requests to upstreams over connections that stay open."""

    _pools: dict[tuple[str, int], urllib3.HTTPConnectionPool] = attrs.field(
        init=False,
        factory=dict,
    )

    def open(
        self,
        dispatch: Dispatch,
        request: CallerRequest,
    ) -> OpenAnswer | AttemptResult:
        """Send a request and wait for the headers of its answer."""
        started = time.monotonic()
        seconds = dispatch.time_limit_ms / _MILLISECONDS_PER_SECOND
        if isinstance(request.body, StreamedBody):
            request.body.max_bytes = dispatch.max_body_bytes
            request.body.deadline = started + seconds
        try:
            response = self._send(dispatch.upstream, request, seconds)
        except CallerBodyError:
            return CallerGone()
        except (NewConnectionError, ConnectTimeoutError):
            return NotStarted(
                NotStartedReason.NOT_CONNECTED,
                _can_resend(request),
            )
        except ReadTimeoutError:
            return Broken(BrokenReason.TIMEOUT, _can_resend(request))
        except (HTTPError, OSError):
            return Broken(BrokenReason.RESET, _can_resend(request))
        latency_ms = (time.monotonic() - started) * _MILLISECONDS_PER_SECOND
        return _checked(OpenAnswer(response, latency_ms), request)

    def is_up(self, upstream: Vm) -> bool:
        """Return whether an upstream takes a new connection."""
        pool = urllib3.HTTPConnectionPool(
            upstream.address,
            upstream.port,
            timeout=_CONNECT_SECONDS,
        )
        connection = pool.ConnectionCls(
            upstream.address,
            upstream.port,
            timeout=_CONNECT_SECONDS,
        )
        try:
            connection.connect()
        except (HTTPError, OSError):
            return False
        connection.close()
        return True

    def _send(
        self,
        upstream: Vm,
        request: CallerRequest,
        seconds: float,
    ) -> urllib3.BaseHTTPResponse:
        headers = urllib3.HTTPHeaderDict(request.headers)
        headers['Request-Timeout'] = f'{seconds:.3f}'
        if request.length is not None and request.length:
            headers['Content-Length'] = str(request.length)
        timeout = urllib3.Timeout(
            connect=min(_CONNECT_SECONDS, seconds),
            read=seconds,
        )
        return self._pool(upstream).urlopen(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=timeout,
            preload_content=False,
            decode_content=False,
        )

    def _pool(self, upstream: Vm) -> urllib3.HTTPConnectionPool:
        key = (upstream.address, upstream.port)
        pool = self._pools.get(key)
        if pool is None:
            pool = _CheckedPool(
                upstream.address,
                upstream.port,
                maxsize=_CONNECTIONS,
            )
            pool = self._pools.setdefault(key, pool)
        return pool


def _checked(
    answer: OpenAnswer,
    request: CallerRequest,
) -> OpenAnswer | AttemptResult:
    """Return the answer, unless it says that nothing ran or has no end."""
    response = answer.response
    if response.headers.get(OUTCOME_HEADER) == _NOT_RUN:
        is_leaving = answer.is_leaving
        _finish(response)
        return NotStarted(
            NotStartedReason.REFUSED_BY_UPSTREAM,
            _can_resend(request),
            is_leaving,
        )
    if _has_end(response, request.method):
        return answer
    response.close()
    return Broken(BrokenReason.INCOMPLETE, can_resend=False)


def _finish(response: urllib3.BaseHTTPResponse) -> None:
    """Read the rest, so that the connection can be used again."""
    try:
        response.drain_conn()
    except HTTPError:
        response.close()


def _has_end(response: urllib3.BaseHTTPResponse, method: str) -> bool:
    """Return whether a complete body can be told from a short one."""
    if method == 'HEAD' or response.status in _NO_BODY_STATUSES:
        return True
    return (
        'content-length' in response.headers
        or response.headers.get('transfer-encoding', '').lower() == 'chunked'
    )


def _can_resend(request: CallerRequest) -> bool:
    if isinstance(request.body, StreamedBody):
        return not request.body.is_started
    return True
