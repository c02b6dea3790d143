"""Closing of servers whose callers still read."""

import asyncio
from collections.abc import Callable, Sequence

from catkindrift.clock import Clock
from catkindrift.http1._server import HttpServer

_POLL_SECONDS = 0.05
# A connection is accepted, made, registered and read in one pass of the loop
# each, behind what is scheduled before.
_PASSES = 6
# Callers close connections within a round trip of the last response; one that
# is closed before with unread bytes would be reset and could lose it.
_LINGER_MS = 250


async def wait_until(
    clock: Clock, holds: Callable[[], bool], longest_ms: int
) -> None:
    """Poll until a condition holds, or until the time has passed.

    It has to hold until input that has arrived meanwhile is read, for which a
    stall of the loop leaves no time before the poll.

    Args:
        clock: Source of time.
        holds: The condition.
        longest_ms: Longest time to wait.
    """
    until_ms = clock.now_ms() + longest_ms
    while not await _keeps_holding(holds) and clock.now_ms() < until_ms:
        await asyncio.sleep(_POLL_SECONDS)


async def close_when_read(
    clock: Clock,
    servers: Sequence[HttpServer],
    are_read: Callable[[], bool],
    longest_ms: int,
) -> None:
    """Close servers once their last responses are read.

    Args:
        clock: Source of time.
        servers: Servers to close.
        are_read: Returns whether all responses are read.
        longest_ms: Longest time to wait for that, if less than usual.
    """
    for server in servers:
        server.close_idle()
    await wait_until(clock, are_read, min(longest_ms, _LINGER_MS))
    for open_server in servers:
        open_server.close()
    # Lets the loop close the sockets.
    await asyncio.sleep(0)


async def _keeps_holding(holds: Callable[[], bool]) -> bool:
    for _ in range(_PASSES):
        if not holds():
            return False
        await asyncio.sleep(0)
    return holds()
