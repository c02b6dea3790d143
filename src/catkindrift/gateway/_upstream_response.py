"""Responses to callers, built from those of upstreams."""

from collections.abc import Callable
from typing import Final

from catkindrift.gateway._permitted_headers import HEADER_RULES
from catkindrift.http1 import (
    Response,
    ResponseBodyStream,
    ResponseHead,
    ResponseReceiver,
    body_length,
)

# Responses up to this size are read whole before they are forwarded, so that
# a truncated or malformed one can still be replaced by another attempt.
MAX_BUFFERED_BYTES: Final = 131_072


def build_response(
    receiver: ResponseReceiver,
    head: ResponseHead,
    on_end: Callable[[bool], None],
) -> Response:
    """Return the response to forward; its body may still be arriving.

    Args:
        receiver: Receives the response.
        head: Head of the response.
        on_end: Called with whether the response was received whole, at once
            if it was.
    """
    body_stream = None
    body = receiver.take_buffered()
    if receiver.is_complete:
        on_end(True)
    else:
        body_stream = ResponseBodyStream(receiver, on_end)
    return Response(
        head.status,
        HEADER_RULES.without_reserved(HEADER_RULES.forwarded(head.headers)),
        body,
        body_length(head.headers),
        body_stream,
    )
