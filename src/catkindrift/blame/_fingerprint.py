"""Fingerprint by which repeats of a request are recognized."""

from typing import Final

import xxhash

# Enough of a body to distinguish it from others, and little enough to buffer
# before the rest of it arrives.
BODY_PREFIX_BYTES: Final = 65_536


_SEPARATOR: Final = '.'


def request_fingerprint(caller: str, target: bytes, body: bytes) -> str:
    """Return a digest that is equal for all repeats of a request.

    The method, headers, framing and idempotency key aren't part of the
    digest because they may differ between repeats. The caller is a part of
    its own: a repeat may come from another address.

    Args:
        caller: Identity of the caller.
        target: Service, path and query.
        body: First `BODY_PREFIX_BYTES` of the body, or all of it if shorter.

    Returns:
        Hexadecimal digests of what the upstream runs, and of the caller.
    """
    digest = xxhash.xxh3_64(body)
    digest.update(b'\n%b' % target)
    caller_digest = xxhash.xxh32_hexdigest(caller.encode())
    return f'{digest.hexdigest()}{_SEPARATOR}{caller_digest}'


def without_caller(fingerprint: str) -> str:
    """Return the part that is equal for the same request of all callers."""
    return fingerprint.partition(_SEPARATOR)[0]
