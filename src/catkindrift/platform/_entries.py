"""Decodes and encodes the specs of objects in the platform's store."""

import logging
from collections.abc import Mapping
from typing import Any

import msgspec

from catkindrift.errors import ConfigurationEntryError
from catkindrift.platform._store_object import StoreObject
from catkindrift.platform._wire_config import WireConfiguration
from catkindrift.platform._wire_server import WireServer
from catkindrift.steering import (
    EntryVmRecord,
    RoutingConfiguration,
    Upstream,
)

_LOG = logging.getLogger(__name__)


def decode_configuration(stored: StoreObject) -> RoutingConfiguration | None:
    """Return the configuration in an object, or None if it is invalid.

    Each mistake is logged.
    """
    try:
        return parse_configuration(stored.spec)
    except ExceptionGroup as invalid:
        for mistake in invalid.exceptions:
            _LOG.error('configuration %s: %s', stored.name, mistake)
        return None


def is_configuration(document: Any) -> bool:
    """Return whether a document has the format of a configuration."""
    return isinstance(document, dict) and 'resources' in document


def workspace_keys(document: Any) -> dict[str, frozenset[str]]:
    """Return the digests of all API keys in a configuration, by workspace.

    Args:
        document: A valid configuration.
    """
    wire = msgspec.convert(document, WireConfiguration)
    return wire.key_digests()


def parse_configuration(document: Any) -> RoutingConfiguration:
    """Return the configuration in a document.

    Args:
        document: What the operator writes, decoded from JSON.

    Raises:
        ExceptionGroup: Holds a `ConfigurationEntryError` for each mistake.
    """
    try:
        wire = msgspec.convert(document, WireConfiguration)
    except msgspec.ValidationError as malformed:
        mistake = ConfigurationEntryError(
            'configuration', str(malformed), 'correct the list of resources'
        )
        raise ExceptionGroup('configuration', [mistake]) from malformed
    return wire.decode()


def decode_upstream(
    stored: StoreObject,
    regions: Mapping[str, str],
) -> Upstream | None:
    """Return the upstream of a store entry, or None if it is malformed.

    Args:
        stored: Object of the kind `UPSTREAM_KIND`.
        regions: Region by availability zone.
    """
    try:
        return _convert_upstream(stored, regions)
    except (msgspec.ValidationError, ValueError) as malformed:
        _LOG.warning(
            'upstream entry %s is malformed: %s', stored.name, malformed
        )
        return None


def encode_entry_vm(record: EntryVmRecord) -> Any:
    """Return the spec of an entry VM's record."""
    return msgspec.to_builtins(record)


def decode_entry_vm(stored: StoreObject) -> EntryVmRecord:
    """Return an entry VM's record, an empty one if it is malformed."""
    try:
        return msgspec.convert(stored.spec, EntryVmRecord)
    except msgspec.ValidationError as malformed:
        _LOG.warning(
            'record of entry VM %s is malformed: %s', stored.name, malformed
        )
        return EntryVmRecord()


def _convert_upstream(
    stored: StoreObject, regions: Mapping[str, str]
) -> Upstream:
    wire = msgspec.convert(stored.spec, WireServer)
    return wire.decode(stored.name, stored.revision, regions)
