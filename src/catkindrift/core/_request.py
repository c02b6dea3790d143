"""A caller's request as the decision core sees it."""

from typing import final

import attrs


@final
@attrs.frozen
class Request:
    """What decisions need to know of a request.

    Args:
        request_id: Unique in this process.
        service: Service that the caller named.
        caller: Digest of the caller's identity.
        method: HTTP method.
        fingerprint: What its repeats by the same caller have in common with it.
        deadline_ms: Time by which the answer is wanted; 0 for the default of
            the service.
        body_bytes: Length of the body; nothing when it is not announced.
        is_held: The whole body is in memory.
        idempotency_key: Value of the Idempotency-Key header, may be empty.
        content_digest: Digest of method, path and body; tells whether a key is
            used again for another request.
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
