"""Bodies that are read whole before anything is decided."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from catkindrift.callers._bad_request import BadRequestError
from catkindrift.callers._problem_answer import bad_request
from catkindrift.http1 import CallerRequest

_Read = TypeVar('_Read')

# A caller who sends a small body more slowly than this has stalled.
_LONGEST_BODY_SECONDS = 30.0


async def read_body(request: CallerRequest, most_bytes: int) -> bytes | None:
    """Return the whole body, or nothing if it is larger than `most_bytes`.

    Raises:
        BadRequestError: The body did not arrive in time.
    """
    return await _in_time(request.body.read_all(most_bytes))


async def read_prefix(request: CallerRequest, size: int) -> bytes:
    """Return the first `size` bytes of the body, or all of a shorter one.

    Raises:
        BadRequestError: They did not arrive in time.
    """
    return await _in_time(request.body.read_prefix(size))


async def _in_time(reading: Awaitable[_Read]) -> _Read:
    try:
        async with asyncio.timeout(_LONGEST_BODY_SECONDS):
            return await reading
    except TimeoutError as late:
        raise BadRequestError(
            bad_request(
                'short_body',
                'the body did not arrive; send it whole',
            ),
        ) from late
