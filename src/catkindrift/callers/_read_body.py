"""Reads request bodies, or their first bytes, before the core decides."""

from collections.abc import Awaitable
from typing import TypeVar

from catkindrift.callers._bad_request import BadRequestError
from catkindrift.callers._problem_response import bad_request
from catkindrift.callers._time_limits import TimeLimits
from catkindrift.http1 import CallerRequest

_Read = TypeVar('_Read')

# A caller that takes longer to send a small body counts as stalled.
_BODY_TIMEOUT_MS = 30_000


async def read_body(
    request: CallerRequest, max_bytes: int, limits: TimeLimits
) -> bytes | None:
    """Return the whole body, or None if it is larger than `max_bytes`.

    Raises:
        BadRequestError: The body did not arrive in time.
    """
    return await _with_timeout(
        request, request.body.read_all(max_bytes), limits
    )


async def read_prefix(
    request: CallerRequest, size: int, limits: TimeLimits
) -> bytes:
    """Return the first `size` bytes of the body, or all of a shorter one.

    Raises:
        BadRequestError: They did not arrive in time.
    """
    return await _with_timeout(request, request.body.read_prefix(size), limits)


async def _with_timeout(
    request: CallerRequest, awaitable: Awaitable[_Read], limits: TimeLimits
) -> _Read:
    if request.body.is_complete:
        return await awaitable
    try:
        async with limits.enforce(limits.now_ms + _BODY_TIMEOUT_MS):
            return await awaitable
    except TimeoutError as error:
        raise BadRequestError(
            bad_request(
                'short_body',
                'the body did not arrive in time; send all of it at once',
            ),
        ) from error
