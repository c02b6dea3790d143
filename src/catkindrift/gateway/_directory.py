"""Tells callers where to connect, and the platform whether that works."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

import attrs
from prometheus_client import generate_latest

from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.http1 import Answer, CallerRequest
from catkindrift.platform import (
    READINESS_PATH,
    RESOLVE_PATH,
    caller_place,
    directory_body,
)
from catkindrift.steering import Members, addresses_for

# Callers ask again after this time: it bounds how long they use a VM that
# is gone or leaving.
_LIFETIME_S = 1.0
_JSON = (b'Content-Type', b'application/json')
_TEXT = (b'Content-Type', b'text/plain; version=0.0.4')


@final
@attrs.define(eq=False)
class Directory:
    """Names ready entry VMs near the caller.

    Args:
        members: Other entry VMs.
        heartbeats: Facts about this one.
    """

    _members: Members
    _heartbeats: Heartbeats

    async def __call__(self, request: CallerRequest) -> Answer:
        """Answer one caller."""
        if request.path != RESOLVE_PATH:
            return Answer(HTTPStatus.NOT_FOUND)
        zone, region = caller_place(request.query)
        alive = (*self._members.alive(), self._heartbeats.own)
        addresses = addresses_for(alive, zone, region)
        if not addresses:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE)
        body = directory_body(addresses, _LIFETIME_S)
        return Answer(HTTPStatus.OK, [_JSON], body)


@final
@attrs.define(eq=False)
class Readiness:
    """Says whether callers may be sent to this entry VM.

    Args:
        is_ready: Returns whether they may.
    """

    _is_ready: Callable[[], bool]

    async def __call__(self, request: CallerRequest) -> Answer:
        """Answer one check."""
        if request.path != READINESS_PATH:
            return Answer(HTTPStatus.NOT_FOUND)
        if self._is_ready():
            return Answer(HTTPStatus.OK)
        return Answer(HTTPStatus.SERVICE_UNAVAILABLE)


@final
@attrs.define(eq=False)
class MetricsPage:
    """Shows the counters of this entry VM.

    Args:
        metrics: The counters.
    """

    _metrics: GatewayMetrics

    async def __call__(self, request: CallerRequest) -> Answer:
        """Answer one collection."""
        if request.path != '/metrics':
            return Answer(HTTPStatus.NOT_FOUND)
        body = generate_latest(self._metrics.registry)
        return Answer(HTTPStatus.OK, [_TEXT], body)
