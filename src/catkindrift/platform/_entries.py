"""Decodes entries that others wrote into the platform's store."""

from collections.abc import Mapping
from typing import Any

import msgspec
from absl import logging

from catkindrift.platform._store_object import StoreObject
from catkindrift.platform._wire_config import WireConfiguration
from catkindrift.platform._wire_server import WireServer
from catkindrift.steering import RoutingConfiguration, Upstream


def decode_configuration(found: StoreObject) -> RoutingConfiguration | None:
    """Return the configuration in an object, or nothing if malformed."""
    try:
        return msgspec.convert(found.spec, WireConfiguration).decode()
    except (msgspec.ValidationError, ValueError) as malformed:
        logging.error('configuration %s: %s', found.name, malformed)
        return None


def decode_upstream(
    found: StoreObject,
    regions: Mapping[str, str],
) -> Upstream | None:
    """Return the upstream that an entry names, or nothing if malformed.

    Args:
        found: The entry.
        regions: Region of each availability zone.
    """
    try:
        return _convert_upstream(found, regions)
    except (msgspec.ValidationError, ValueError) as malformed:
        logging.warning('upstream entry %s: %s', found.name, malformed)
        return None


def encode_entry_vm(address: str) -> Any:
    """Return the spec of this system's own entry for an entry VM."""
    return {'peers': address}


def decode_entry_vm(found: StoreObject) -> str:
    """Return the address for peers that an entry names, or nothing."""
    spec = found.spec
    address = spec.get('peers') if isinstance(spec, dict) else None
    return address if isinstance(address, str) else ''


def _convert_upstream(
    found: StoreObject, regions: Mapping[str, str]
) -> Upstream:
    wire = msgspec.convert(found.spec, WireServer)
    return wire.decode(found.name, found.revision, regions)
