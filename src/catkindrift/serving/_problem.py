"""Error responses as problem details (RFC 9457)."""

import json
import math
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, final

import attrs

from catkindrift.core import Refusal, RefusalReason
from catkindrift.retries import Outcome

MEDIA_TYPE = 'application/problem+json'
_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.frozen
class Problem:
    """One error response.

    Args:
        status: HTTP status.
        reason: Machine-readable reason; the last part of the problem type.
        detail: What went wrong and what to do about it.
        outcome: Whether the request is known not to have run; empty if that
            does not apply.
        retry_after_ms: Delay before a retry; 0 omits Retry-After.
        closes_connection: Whether the connection closes after the response.
    """

    status: HTTPStatus
    reason: str
    detail: str
    outcome: str = ''
    retry_after_ms: int = 0
    closes_connection: bool = False

    @property
    def status_line(self) -> str:
        """Return the HTTP status code and its phrase."""
        return f'{self.status.value} {self.status.phrase}'

    @property
    def body(self) -> bytes:
        """Return the JSON document as bytes."""
        document: dict[str, Any] = {
            'type': f'urn:catkindrift:{self.reason}',
            'title': self.reason.replace('_', ' '),
            'status': self.status.value,
            'detail': self.detail,
        }
        if self.outcome:
            document['outcome'] = self.outcome
        if self.retry_after_ms:
            document['retry_after_ms'] = self.retry_after_ms
        return json.dumps(document).encode()

    def headers(self) -> list[tuple[str, str]]:
        """Return the response headers for `body`."""
        headers = [
            ('Content-Type', MEDIA_TYPE),
            ('Content-Length', str(len(self.body))),
            ('Cache-Control', 'no-store'),
        ]
        if self.outcome:
            headers.append(('Catkindrift-Outcome', self.outcome))
        if self.retry_after_ms:
            seconds = math.ceil(self.retry_after_ms / _MILLISECONDS_PER_SECOND)
            headers.append(('Retry-After', str(seconds)))
        if self.closes_connection:
            headers.append(('Connection', 'close'))
        return headers


_STATUS = MappingProxyType(
    {
        RefusalReason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        RefusalReason.KEY_MISSING: HTTPStatus.BAD_REQUEST,
        RefusalReason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalReason.IN_PROGRESS: HTTPStatus.CONFLICT,
        RefusalReason.ALREADY_RUN: HTTPStatus.CONFLICT,
        RefusalReason.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        RefusalReason.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
        RefusalReason.UPSTREAM_FAILED: HTTPStatus.BAD_GATEWAY,
    }
)
_DETAIL = MappingProxyType(
    {
        RefusalReason.UNKNOWN_SERVICE: (
            'the service does not exist; check the name after /services/'
        ),
        RefusalReason.KEY_MISSING: (
            'this service runs each request only once; '
            'send an Idempotency-Key header'
        ),
        RefusalReason.KEY_REUSED: (
            'the Idempotency-Key was used for another request; use a new key'
        ),
        RefusalReason.IN_PROGRESS: (
            'the first request with this key is in progress; retry later'
        ),
        RefusalReason.ALREADY_RUN: (
            'the request with this key has run, but its response was too large '
            'to store; read the result from the service'
        ),
        RefusalReason.CLAIM_UNAVAILABLE: (
            'the platform cannot record that this request runs once; retry '
            'later with the same key'
        ),
        RefusalReason.QUARANTINED: (
            'this request crashed the upstreams that ran it; change it'
        ),
        RefusalReason.BODY_TOO_LARGE: (
            'the body is larger than the service accepts; send a smaller one'
        ),
        RefusalReason.QUEUE_FULL: 'too many requests are waiting; retry later',
        RefusalReason.DEADLINE_CANNOT_BE_MET: (
            'the deadline cannot be met now; retry later or extend it'
        ),
        RefusalReason.DEADLINE_EXCEEDED: 'the deadline has passed; retry later',
        RefusalReason.NO_ROOM: 'all upstreams are at capacity; retry later',
        RefusalReason.NO_UPSTREAM: (
            'no upstream is available for this service; retry later'
        ),
        RefusalReason.UPSTREAM_FAILED: (
            'the upstream did not complete its response; check whether the '
            'request ran before sending it again'
        ),
        RefusalReason.NOT_READY: (
            'this entry VM has no configuration yet; use another one from '
            '/lookup'
        ),
        RefusalReason.STOPPING: (
            'this entry VM is stopping; use another one from /lookup'
        ),
    }
)


def refusal_problem(refusal: Refusal, *, closes_connection: bool) -> Problem:
    """Return the error response for a refusal.

    Args:
        refusal: Reason, outcome and retry delay.
        closes_connection: Whether the connection must close, because part of
            the request body was not read.
    """
    detail = _DETAIL[refusal.reason]
    is_unrun_failure = (
        refusal.reason is RefusalReason.UPSTREAM_FAILED
        and refusal.outcome is Outcome.NOT_RUN
    )
    if is_unrun_failure:
        detail = 'no upstream could be reached; retry later'
    return Problem(
        _STATUS.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE),
        refusal.reason.value,
        detail,
        refusal.outcome.value,
        refusal.retry_after_ms,
        closes_connection,
    )
