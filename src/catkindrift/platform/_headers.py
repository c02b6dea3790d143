"""Names of the platform's headers."""

from typing import Final

# Identifies one try of a caller, not one try of this system.
REQUEST_ID: Final = b'attempt-id'
# Milliseconds that the sender will wait.
DEADLINE: Final = b'deadline-remaining'
# Cookie that names the object a request is about.
OBJECT_COOKIE: Final = b'Affinity-Key'
# Present on everything that an upstream itself has answered.
SIGNATURE: Final = b'server-signature'
# Makes any other upstream at the address answer 421.
EXPECTED_UPSTREAM: Final = b'expected-instance'
# Names the upstream that answers a health check.
UPSTREAM_ID: Final = b'instance-id'
# Running and waiting requests and slots of the upstream that answers.
LOAD: Final = b'server-load'
# States that the upstream did not start the request.
NOT_RUN: Final = b'not-executed'
RETRY_AFTER: Final = b'Retry-After'
COLD_REMAINING: Final = b'cold-remaining-ms'
