"""Headers of requests and responses that others may see."""

from typing import Final

from catkindrift.gateway._handed_over_requests import (
    KEY_HEADER,
    OWN_HEADER_PREFIX,
)
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.http1 import HeaderRules, Headers
from catkindrift.platform import (
    END_TO_END_HEADERS,
    SINGLE_HEADERS,
    with_workspace,
    without_credentials,
)
from catkindrift.workspaces import Granted, Unchecked

# One rule for requests and responses, of callers, upstreams and entry VMs.
HEADER_RULES: Final = HeaderRules(
    END_TO_END_HEADERS, SINGLE_HEADERS, OWN_HEADER_PREFIX
)
# Where other entry VMs hand requests over.
PEER_HEADER_RULES: Final = HeaderRules(END_TO_END_HEADERS, SINGLE_HEADERS)


def headers_for_upstream(pending: PendingRequest) -> Headers:
    """Return the headers that an upstream may see.

    If the configuration holds workspaces, the API key is left out and the name
    of its workspace is set.
    """
    headers = HEADER_RULES.forwarded(pending.request.headers)
    access = pending.access
    if not isinstance(access, Granted):
        return headers
    workspace = access.workspace
    return with_workspace(headers, workspace.name if workspace else '')


def headers_for_peer(pending: PendingRequest) -> Headers:
    """Return the headers for another entry VM, with a digest of the API key."""
    headers = HEADER_RULES.forwarded(pending.request.headers)
    if isinstance(pending.access, Unchecked):
        return headers
    headers = without_credentials(headers)
    if pending.key_digest:
        headers.append((KEY_HEADER, pending.key_digest.hex().encode()))
    return headers
