"""Names of the platform's headers."""

from typing import Final

# Identifies one attempt of the caller; this system's own retries of it carry
# the same id.
REQUEST_ID: Final = b'attempt-id'
# Milliseconds until the sender stops waiting for the response.
DEADLINE: Final = b'deadline-remaining'
# Holds the caller's API key; upstreams never receive it.
CREDENTIALS: Final = b'authorization'
# Name of the workspace that holds the key of a request.
WORKSPACE: Final = b'tenant'
# Cookie that holds the key of the object that a request concerns.
OBJECT_COOKIE: Final = b'Affinity-Key'
# Set on each response that an upstream itself generated.
SIGNATURE: Final = b'server-signature'
# Id of the intended upstream; another upstream at the address responds 421.
EXPECTED_UPSTREAM: Final = b'expected-instance'
# Id of the upstream that responds to a health check.
UPSTREAM_ID: Final = b'instance-id'
# Running requests, waiting requests and slots of the responding upstream, and
# optionally the time that work takes on its host in percent of the usual,
# separated by commas.
LOAD: Final = b'server-load'
# Requests per second that the upstream takes from all entry VMs together.
LIMIT: Final = b'server-limit'
# Set on all responses of an upstream that is shutting down.
LEAVING: Final = b'server-leaving'
# Set if the upstream did not start the request.
NOT_RUN: Final = b'not-executed'
# Rises by one each time the store comes back from an older copy of itself.
ERA: Final = b'store-era'
RETRY_AFTER: Final = b'Retry-After'
# Milliseconds until the upstream is warm.
COLD_REMAINING: Final = b'cold-remaining-ms'
# A request has each of these once at most.
SINGLE_HEADERS: Final = frozenset((REQUEST_ID, DEADLINE))
# The platform's headers for all recipients of a message; callers and upstreams
# can't restrict them to one connection.
END_TO_END_HEADERS: Final = frozenset(
    (
        REQUEST_ID,
        DEADLINE,
        WORKSPACE,
        SIGNATURE,
        EXPECTED_UPSTREAM,
        UPSTREAM_ID,
        LOAD,
        LIMIT,
        LEAVING,
        NOT_RUN,
        ERA,
        COLD_REMAINING,
    )
)
