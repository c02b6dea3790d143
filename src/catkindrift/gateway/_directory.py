"""Resolves the entry VMs that a caller may connect to."""

from http import HTTPStatus
from typing import final

import attrs

from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.http1 import CallerRequest, Response
from catkindrift.platform import (
    RESOLVE_PATH,
    caller_location,
    directory_body,
)
from catkindrift.steering import Members, addresses_for

# Callers resolve again after this time, unless the platform sets a lower
# limit. It bounds how long they use a VM that has stopped or is draining.
_DEFAULT_TTL_S = 1.0
_JSON = (b'Content-Type', b'application/json')


@final
@attrs.define(eq=False, repr=False)
class Directory:
    """Returns the addresses of ready entry VMs near the caller.

    Args:
        members: Other entry VMs.
        heartbeats: Provides the member record of this VM.
        max_ttl_s: Longest TTL in seconds that the platform allows.
    """

    _members: Members
    _heartbeats: Heartbeats
    max_ttl_s: float

    async def __call__(self, request: CallerRequest) -> Response:
        """Handle one resolve request."""
        if request.path != RESOLVE_PATH:
            return Response(HTTPStatus.NOT_FOUND)
        zone, region = caller_location(request.query)
        alive = (*self._members.alive(), self._heartbeats.own_member)
        addresses = addresses_for(alive, zone, region)
        if not addresses:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE)
        body = directory_body(
            addresses,
            lookup_lifetime_s(self.max_ttl_s),
        )
        return Response(HTTPStatus.OK, [_JSON], body)


def lookup_lifetime_s(max_ttl_s: float) -> float:
    """Return the lifetime of directory responses in seconds.

    Args:
        max_ttl_s: Longest TTL in seconds that the platform allows.
    """
    return min(_DEFAULT_TTL_S, max_ttl_s)
