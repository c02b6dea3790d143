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
        fingerprint: Digest of method, path and body; for bodies that are not
            held in memory, of method, path, caller and length.
        deadline_ms: Time by which the answer is wanted; 0 for the default of
            the service.
        body_bytes: Length of the body; nothing when it is not announced.
        is_held: The whole body is in memory.
        idempotency_key: Value of the Idempotency-Key header, may be empty.
    """

    request_id: int
    service: str
    caller: str
    method: str
    fingerprint: str
    deadline_ms: int = 0
    body_bytes: int | None = 0
    is_held: bool = True
    idempotency_key: str = ''
