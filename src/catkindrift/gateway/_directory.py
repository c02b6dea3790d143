"""Tells callers where to connect."""

from http import HTTPStatus
from typing import final

import attrs

from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.http1 import Answer, CallerRequest
from catkindrift.platform import (
    RESOLVE_PATH,
    caller_place,
    directory_body,
)
from catkindrift.steering import Members, addresses_for

# Callers ask again after this time, if the platform does not ask for less: it
# bounds how long they use a VM that is gone or leaving.
_DEFAULT_TTL_S = 1.0
_JSON = (b'Content-Type', b'application/json')


@final
@attrs.define(eq=False)
class Directory:
    """Names ready entry VMs near the caller.

    Args:
        members: Other entry VMs.
        heartbeats: Facts about this one.
        longest_s: Longest lifetime in seconds that the platform allows.
    """

    _members: Members
    _heartbeats: Heartbeats
    _max_ttl_s: float

    async def __call__(self, request: CallerRequest) -> Answer:
        """Answer one caller."""
        if request.path != RESOLVE_PATH:
            return Answer(HTTPStatus.NOT_FOUND)
        zone, region = caller_place(request.query)
        alive = (*self._members.alive(), self._heartbeats.own_member)
        addresses = addresses_for(alive, zone, region)
        if not addresses:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE)
        body = directory_body(
            addresses,
            min(_DEFAULT_TTL_S, self._max_ttl_s),
        )
        return Answer(HTTPStatus.OK, [_JSON], body)
