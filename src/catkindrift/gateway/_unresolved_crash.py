"""Possible crash of an upstream that could not be reached."""

from typing import final

import attrs

from catkindrift.steering import Upstream


@final
@attrs.frozen
class UnresolvedCrash:
    """A possible crash, until the entry of the upstream shows what it was.

    Args:
        upstream: The upstream.
        blamed: Fingerprints of the requests that ran there.
        at_ms: Time at which its connections broke.
    """

    upstream: Upstream
    blamed: frozenset[str]
    at_ms: int
