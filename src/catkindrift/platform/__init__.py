"""The platform's manner of speaking: names, formats and calls.

Nothing in this package decides. Nothing outside it knows a platform name.
"""

from catkindrift.platform._entries import (
    decode_configuration,
    decode_entry_vm,
    decode_upstream,
    encode_entry_vm,
)
from catkindrift.platform._kinds import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENTRY_VM_KIND,
    EVACUATION_KIND,
    READINESS_PATH,
    RESOLVE_PATH,
    UPSTREAM_KIND,
)
from catkindrift.platform._request_messages import (
    caller_place,
    directory_body,
    forwarded_headers,
    health_headers,
    object_key,
    remaining_ms,
    request_id,
    retry_after,
)
from catkindrift.platform._response_messages import (
    answers_request,
    cold_left_ms,
    is_misdirected,
    is_other_upstream,
    is_signed,
    load_report,
    says_not_run,
)
from catkindrift.platform._store_client import StoreClient
from catkindrift.platform._store_object import StoreObject
from catkindrift.platform._store_page import StorePage

__all__ = [
    'CONFIGURATION_KIND',
    'CONFIGURATION_NAME',
    'ENTRY_VM_KIND',
    'EVACUATION_KIND',
    'READINESS_PATH',
    'RESOLVE_PATH',
    'UPSTREAM_KIND',
    'StoreClient',
    'StoreObject',
    'StorePage',
    'answers_request',
    'caller_place',
    'cold_left_ms',
    'decode_configuration',
    'decode_entry_vm',
    'decode_upstream',
    'directory_body',
    'encode_entry_vm',
    'forwarded_headers',
    'health_headers',
    'is_misdirected',
    'is_other_upstream',
    'is_signed',
    'load_report',
    'object_key',
    'remaining_ms',
    'request_id',
    'retry_after',
    'says_not_run',
]
