"""Reads request bodies, or their first bytes, before the core decides."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from catkindrift.callers._bad_request import BadRequestError
from catkindrift.callers._problem_response import bad_request
from catkindrift.http1 import CallerRequest

_Read = TypeVar('_Read')

# A caller that takes longer to send a small body counts as stalled.
_BODY_TIMEOUT_SECONDS = 30.0


async def read_body(request: CallerRequest, max_bytes: int) -> bytes | None:
    """Return the whole body, or None if it is larger than `max_bytes`.

    Raises:
        BadRequestError: The body did not arrive in time.
    """
    return await _with_timeout(request.body.read_whole(max_bytes))


async def read_prefix(request: CallerRequest, size: int) -> bytes:
    """Return the first `size` bytes of the body, or all of a shorter one.

    Raises:
        BadRequestError: They did not arrive in time.
    """
    return await _with_timeout(request.body.read_prefix(size))


async def _with_timeout(awaitable: Awaitable[_Read]) -> _Read:
    try:
        async with asyncio.timeout(_BODY_TIMEOUT_SECONDS):
            return await awaitable
    except TimeoutError as error:
        raise BadRequestError(
            bad_request(
                'short_body',
                'the body did not arrive in time; send all of it at once',
            ),
        ) from error
