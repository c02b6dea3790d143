"""Wire format of the operators' configuration in the platform's store."""

from typing import Any, Final, final

import attrs
import msgspec

from catkindrift.errors import ConfigurationEntryError
from catkindrift.platform._wire_resources import (
    WireLimits,
    WireRoute,
    WireService,
    WireWorkspace,
)
from catkindrift.steering import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    ServiceRules,
)
from catkindrift.workspaces import KeyedWorkspace, WorkspaceTable, key_digest

_HEXADECIMAL = 16
_WORKSPACES: Final = 'tenants'


@final
@attrs.frozen
class WireMetadata:
    """Metadata of a resource; the name of a `limits` resource is empty."""

    name: str = ''


@final
@attrs.frozen
class WireResource:
    """One resource; `entry_kind` determines the type of its spec."""

    entry_kind: str
    metadata: WireMetadata
    spec: dict[str, Any]


@final
@attrs.frozen
class WireConfiguration:
    """All resources, and the version as a hexadecimal number."""

    version: str
    resources: list[WireResource]

    def decode(self) -> RoutingConfiguration:
        """Return the routing configuration.

        Resources of other kinds are ignored.

        Raises:
            ExceptionGroup: Holds a `ConfigurationEntryError` for each mistake.
        """
        decoder = _Decoder()
        for each in self.resources:
            decoder.add(each)
        return decoder.build(self.version)

    def key_digests(self) -> dict[str, frozenset[str]]:
        """Return the digests of the API keys by name of the workspace."""
        return {
            each.metadata.name: frozenset(
                key_digest(api_key.encode()).hex()
                for api_key in each.spec.get('api_keys', ())
            )
            for each in self.resources
            if each.entry_kind == _WORKSPACES
        }


@final
@attrs.define
class _Decoder:
    """Collects the entries of a configuration, and all mistakes in them."""

    _routes: list[Route] = attrs.field(factory=list)
    _services: dict[str, ServiceRules] = attrs.field(factory=dict)
    _workspaces: list[KeyedWorkspace] = attrs.field(factory=list)
    _limits: CallerLimits = attrs.field(factory=CallerLimits)
    _mistakes: list[ConfigurationEntryError] = attrs.field(factory=list)

    def add(self, resource: WireResource) -> None:
        """Decode one resource, or keep the mistake in it."""
        try:
            self._decode(resource)
        except (msgspec.ValidationError, ValueError) as malformed:
            place = f'{resource.entry_kind} {resource.metadata.name!r}'
            self._mistakes.append(_mistake(place, malformed))

    def build(self, version: str) -> RoutingConfiguration:
        """Return the configuration of all entries.

        Args:
            version: Version as a hexadecimal number.

        Raises:
            ExceptionGroup: An entry or the version is invalid.
        """
        number = self._number(version)
        table = self._table()
        if self._mistakes or number is None:
            raise ExceptionGroup('configuration', self._mistakes)
        return RoutingConfiguration(
            number, tuple(self._routes), self._services, self._limits, table
        )

    def _decode(self, resource: WireResource) -> None:
        name = resource.metadata.name
        match resource.entry_kind:
            case 'routes':
                route = msgspec.convert(resource.spec, WireRoute)
                self._routes.append(route.decode(name))
            case 'services':
                service = msgspec.convert(resource.spec, WireService)
                self._services[name] = service.decode(name)
            case 'tenants':
                tenant = msgspec.convert(resource.spec, WireWorkspace)
                workspace = tenant.decode(name)
                self._workspaces.append((workspace, tenant.api_keys))
            case 'limits':
                limits = msgspec.convert(resource.spec, WireLimits)
                self._limits = limits.decode()

    def _number(self, version: str) -> int | None:
        try:
            return int(version, _HEXADECIMAL)
        except ValueError:
            self._mistakes.append(
                ConfigurationEntryError(
                    'version',
                    f'{version!r} is no hexadecimal number',
                    'write it as eight hexadecimal digits',
                )
            )
            return None

    def _table(self) -> WorkspaceTable:
        table, mistakes = WorkspaceTable.build(self._workspaces)
        self._mistakes.extend(mistakes)
        return table


def _mistake(place: str, malformed: Exception) -> ConfigurationEntryError:
    """Return the error of an entry, which never shows values of the entry.

    A value may be an API key; messages of the decoder name types and paths
    only, those of range checks may show the value.
    """
    return ConfigurationEntryError(
        place, str(malformed.args[0]), 'correct the entry and send it again'
    )
