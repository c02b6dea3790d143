"""Names, message formats and store client of the platform.

This package only encodes and decodes; it makes no routing decisions. It is the
only package that uses the platform's own names.
"""

from catkindrift.platform._entries import (
    decode_configuration,
    decode_entry_vm,
    decode_upstream,
    encode_entry_vm,
    is_configuration,
    parse_configuration,
    workspace_keys,
)
from catkindrift.platform._headers import END_TO_END_HEADERS, SINGLE_HEADERS
from catkindrift.platform._kinds import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENTRY_VM_KIND,
    EVACUATION_KIND,
    READINESS_PATH,
    RESOLVE_PATH,
    UPSTREAM_KIND,
)
from catkindrift.platform._load_header import parse_load_figures
from catkindrift.platform._request_messages import (
    api_key,
    caller_location,
    directory_body,
    forwarded_headers,
    health_headers,
    object_key,
    remaining_ms,
    request_id,
    retry_after,
    with_deadline,
    with_workspace,
    without_credentials,
)
from catkindrift.platform._response_messages import (
    cold_remaining_ms,
    is_from_upstream,
    is_leaving,
    is_misdirected,
    is_other_upstream,
    matches_attempt,
    reports_not_run,
    request_limit,
    requested_pause_ms,
    stated_start_ms,
)
from catkindrift.platform._store_client import StoreClient
from catkindrift.platform._store_object import StoreObject
from catkindrift.platform._store_page import StorePage

__all__ = [
    'CONFIGURATION_KIND',
    'CONFIGURATION_NAME',
    'END_TO_END_HEADERS',
    'ENTRY_VM_KIND',
    'EVACUATION_KIND',
    'READINESS_PATH',
    'RESOLVE_PATH',
    'SINGLE_HEADERS',
    'UPSTREAM_KIND',
    'StoreClient',
    'StoreObject',
    'StorePage',
    'api_key',
    'caller_location',
    'cold_remaining_ms',
    'decode_configuration',
    'decode_entry_vm',
    'decode_upstream',
    'directory_body',
    'encode_entry_vm',
    'forwarded_headers',
    'health_headers',
    'is_configuration',
    'is_from_upstream',
    'is_leaving',
    'is_misdirected',
    'is_other_upstream',
    'matches_attempt',
    'object_key',
    'parse_configuration',
    'parse_load_figures',
    'remaining_ms',
    'reports_not_run',
    'request_id',
    'request_limit',
    'requested_pause_ms',
    'retry_after',
    'stated_start_ms',
    'with_deadline',
    'with_workspace',
    'without_credentials',
    'workspace_keys',
]
