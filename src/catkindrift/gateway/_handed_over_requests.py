"""Requests that other entry VMs hand over to this one."""

import contextlib
import re
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final, final

import attrs

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.http1 import CallerRequest, Handler, Response
from catkindrift.platform import api_key
from catkindrift.steering import UpstreamReachability
from catkindrift.workspaces import key_digest

# Callers and upstreams can't state headers with this prefix.
OWN_HEADER_PREFIX: Final = b'catkindrift-'
# IP address of the caller; marks a request that is handed over.
CALLER_HEADER: Final = b'catkindrift-caller'
# In a refusal by a VM that is cut off itself.
CUT_OFF_HEADER: Final = b'catkindrift-cut-off'
# Version of the configuration by which the sender has found the route.
CONFIGURATION_HEADER: Final = b'catkindrift-configuration'
# Digest of the caller's API key, which itself is not handed over.
KEY_HEADER: Final = b'catkindrift-key-digest'
_OWN_HEADERS = frozenset((CALLER_HEADER, CONFIGURATION_HEADER, KEY_HEADER))
_DIGEST = re.compile(rb'[0-9a-f]{32}')
# More at a time would delay this VM's own callers.
_MAX_IN_FLIGHT = 256


@final
@attrs.define(eq=False, repr=False)
class HandedOverRequests:
    """Serves requests from other entry VMs, and all other internal pages.

    Args:
        forward: Forwards a request with the digest of its API key to
            upstreams, without a further hop.
        other_pages: Handler of requests that are not handed over.
        reachability: Whether this VM is cut off from all upstreams.
        metrics: Counts the requests.
        version: Returns the version of the configuration in force.
    """

    _forward: Callable[[CallerRequest, bytes | None], Awaitable[Response]]
    _other_pages: Handler
    _reachability: UpstreamReachability
    _metrics: GatewayMetrics
    _version: Callable[[], int]
    _in_flight: int = attrs.field(init=False, default=0)

    async def __call__(self, request: CallerRequest) -> Response:
        """Handle one request of another entry VM."""
        caller = _stated_by_sender(request, CALLER_HEADER)
        if not caller:
            return await self._other_pages(request)
        is_full = self._in_flight >= _MAX_IN_FLIGHT
        is_older = self._version() < _sent_version(request)
        if self._reachability.is_cut_off or is_full or is_older:
            self._metrics.handed_over_requests.labels('refused').inc()
            return Response(
                HTTPStatus.SERVICE_UNAVAILABLE, [(CUT_OFF_HEADER, b'1')]
            )
        self._metrics.handed_over_requests.labels('taken').inc()
        with contextlib.ExitStack() as stack:
            self._in_flight += 1
            stack.callback(self._record_end)
            return await self._forward(
                _as_sent(request, caller), _sent_digest(request)
            )

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a response."""
        return self._in_flight

    def _record_end(self) -> None:
        self._in_flight -= 1


def _stated_by_sender(request: CallerRequest, name: bytes) -> bytes:
    """Return the last value of a header, or empty bytes.

    The sender appends its headers to those of its caller, and builds up to
    65abb48 let callers state them too.
    """
    for key, found in reversed(request.headers):
        if key.lower() == name:
            return found
    return b''


def _sent_version(request: CallerRequest) -> int:
    """Return the sender's configuration; 0 from builds that don't tell it."""
    sent = _stated_by_sender(request, CONFIGURATION_HEADER)
    return int(sent) if sent.isdigit() else 0


def _sent_digest(request: CallerRequest) -> bytes | None:
    """Return the digest of the caller's API key, None if it has none.

    Builds that know no workspaces send the key itself.
    """
    sent = _stated_by_sender(request, KEY_HEADER)
    if _DIGEST.fullmatch(sent):
        return bytes.fromhex(sent.decode())
    stated = api_key(request.headers)
    return key_digest(stated) if stated else None


def _as_sent(request: CallerRequest, caller: bytes) -> CallerRequest:
    """Return a request as its caller sent it to the other entry VM."""
    headers = [
        each for each in request.headers if each[0].lower() not in _OWN_HEADERS
    ]
    return attrs.evolve(
        request, headers=headers, caller=caller.decode('latin-1')
    )
