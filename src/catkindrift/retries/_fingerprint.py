"""Fingerprint by which repeats of a request are recognized."""

from typing import Final

import xxhash

# Enough of a body to distinguish it from others, and little enough to buffer
# before the rest of it arrives.
BODY_PREFIX_BYTES: Final = 65_536


def request_fingerprint(caller: str, target: bytes, body: bytes) -> str:
    """Return a digest that is equal for all repeats of a request.

    The method, headers, framing and idempotency key aren't part of the
    digest because they may differ between repeats.

    Args:
        caller: Identity of the caller.
        target: Path and query.
        body: First `BODY_PREFIX_BYTES` of the body, or all of it if shorter.

    Returns:
        The digest in hexadecimal digits.
    """
    digest = xxhash.xxh3_64(body)
    digest.update(b'\n%b\n%b' % (target, caller.encode()))
    return digest.hexdigest()
