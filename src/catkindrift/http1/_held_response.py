"""Responses that are held back until their streamed bodies are whole."""

from http import HTTPStatus
from typing import Final

import attrs

from catkindrift.errors import BrokenAnswerError
from catkindrift.http1._response import Response

# Memory for one response; a larger body is streamed from there on.
_MAX_HELD_BYTES: Final = 1_048_576


async def hold_response(response: Response) -> Response:
    """Return a response of which as much as may be held has arrived.

    If its body breaks off meanwhile, it is replaced by a 502, so that the
    connection stays usable.

    Args:
        response: The response; its body stream is read.
    """
    if response.body_stream is None:
        return response
    held = bytearray(response.body)
    try:
        async for chunk in response.body_stream:
            held += chunk
            if len(held) > _MAX_HELD_BYTES:
                return attrs.evolve(response, body=bytes(held))
    except BrokenAnswerError:
        return Response(HTTPStatus.BAD_GATEWAY)
    return attrs.evolve(response, body=bytes(held), body_stream=None)
