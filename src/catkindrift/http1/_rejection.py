"""Requests that the server rejects before they are handled."""

from enum import StrEnum
from http import HTTPStatus
from typing import final

import attrs

from catkindrift.http1._headers import Headers
from catkindrift.http1._response import Response


@final
class RejectionReason(StrEnum):
    """Why a request is rejected."""

    MALFORMED = 'malformed'
    VERSION = 'version'
    FRAMING = 'framing'
    HOST = 'host'
    REPEATED_HEADER = 'repeated_header'
    TARGET = 'target'
    HEAD_SIZE = 'head_size'
    HEAD_TIMEOUT = 'head_timeout'
    BODY_SIZE = 'body_size'
    MEMORY = 'memory'


@final
@attrs.frozen
class Rejection:
    """A request that violates HTTP or a limit.

    Args:
        status: Status of the response.
        reason: Machine-readable reason.
        detail: What exactly is wrong; may hold text of the caller.
    """

    status: HTTPStatus
    reason: RejectionReason
    detail: str = ''


@final
@attrs.frozen
class RejectedRequest:
    """What is known of a rejected request.

    Args:
        rejection: Why it is rejected.
        headers: Headers that have arrived.
        caller: IP address of the caller.
    """

    rejection: Rejection
    headers: Headers
    caller: str


def bad_request(reason: RejectionReason, detail: str) -> Rejection:
    """Return the rejection of a head that is not valid."""
    return Rejection(HTTPStatus.BAD_REQUEST, reason, detail)


def empty_response(rejected: RejectedRequest) -> Response:
    """Return the response to a rejected request, without a body."""
    return Response(rejected.rejection.status)
