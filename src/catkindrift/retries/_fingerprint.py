"""What a request and its repeats have in common."""

from typing import Final

import xxhash

# Bytes of a body that tell it from others; few enough to wait for before the
# rest has come.
BODY_PREFIX_BYTES: Final = 65_536


def request_fingerprint(caller: str, target: bytes, body: bytes) -> str:
    """Return a digest by which repeats of a request are recognised.

    A repeat may differ in its method, headers, framing and idempotency key.

    Args:
        caller: Identity of the caller.
        target: Path and query.
        body: First `BODY_PREFIX_BYTES` of the body, or all of it if shorter.
    """
    digest = xxhash.xxh3_64(body)
    digest.update(b'\n%b\n%b' % (target, caller.encode()))
    return digest.hexdigest()
