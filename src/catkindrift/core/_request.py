"""A caller's request, reduced to what decisions need."""

from typing import final

import attrs


@final
@attrs.frozen
class Request:
    """Properties of a request that decisions depend on.

    Args:
        request_id: Unique in this process.
        service: Requested service, which may not exist.
        caller: Digest of the caller's identity.
        method: HTTP method.
        fingerprint: Digest that is equal for repeats by the same caller.
        deadline_ms: Time by which the caller needs the response; 0 for the
            default of the service.
        body_bytes: Length of the body; None if it is not declared.
        is_body_buffered: The whole body is in memory.
        idempotency_key: Value of the Idempotency-Key header, empty if absent.
        content_digest: Digest of method, path and body; detects reuse of an
            idempotency key for another request.
    """

    request_id: int
    service: str
    caller: str
    method: str
    fingerprint: str
    deadline_ms: int = 0
    body_bytes: int | None = 0
    is_body_buffered: bool = True
    idempotency_key: str = ''
    content_digest: str = ''
