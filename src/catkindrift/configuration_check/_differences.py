"""Differences between two versions of a configuration."""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, final

import attrs

from catkindrift.steering import RoutingConfiguration, WeightedService

# Digests of API keys by name of the workspace.
_Keys = Mapping[str, frozenset[str]]

_ADDED = 'added'
_REMOVED = 'removed'
_CHANGED = 'changed'
# What additions and removals mean for callers, by kind of the entry.
_EFFECTS: Mapping[tuple[str, str], str] = MappingProxyType(
    {
        ('route', _ADDED): 'requests that match it are served',
        ('route', _REMOVED): 'requests get 404 unless another route matches',
        ('service', _ADDED): 'routes can send requests to it',
        ('service', _REMOVED): 'its health path and cold start are unknown',
        ('workspace', _ADDED): 'requests with its keys are served',
        ('workspace', _REMOVED): 'requests with its keys get 401',
        ('key', _ADDED): 'requests with it are served',
        ('key', _REMOVED): 'requests with it get 401',
    }
)


@final
@attrs.frozen
class Difference:
    """One entry that was added, removed or changed.

    Args:
        change: ``added``, ``removed`` or ``changed``.
        place: Kind and name of the entry.
        effect: What it means for callers.
    """

    change: str
    place: str
    effect: str

    @property
    def text(self) -> str:
        """The difference as one line."""
        return f'{self.change}: {self.place}: {self.effect}'


def compare_configurations(
    before: RoutingConfiguration,
    after: RoutingConfiguration,
    keys_before: _Keys,
    keys_after: _Keys,
) -> list[Difference]:
    """Return what a new version changes.

    Args:
        before: Version in force.
        after: New version.
        keys_before: Digests of the API keys in force, by workspace.
        keys_after: Digests of the new API keys, by workspace.
    """
    kinds = (
        ('route', _by_name(before.routes), _by_name(after.routes)),
        ('service', before.services, after.services),
        (
            'workspace',
            _by_name(before.workspaces.workspaces),
            _by_name(after.workspaces.workspaces),
        ),
        ('limits', {'of callers': before.limits}, {'of callers': after.limits}),
    )
    found = [
        difference
        for kind, old, new in kinds
        for difference in _entries(kind, old, new)
    ]
    return found + list(_keys(keys_before, keys_after))


def _by_name(entries: tuple[Any, ...]) -> dict[str, Any]:
    return {each.name: each for each in entries}


def _entries(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        old = before.get(name)
        new = after.get(name)
        if old is None or new is None:
            change = _ADDED if old is None else _REMOVED
            yield Difference(change, f'{kind} {name}', _EFFECTS[kind, change])
        elif old != new:
            yield Difference(_CHANGED, f'{kind} {name}', _fields(old, new))


def _fields(before: Any, after: Any) -> str:
    """Return the fields that differ, with both values."""
    new = attrs.asdict(after, recurse=False)
    changes: list[str] = []
    for name, old in attrs.asdict(before, recurse=False).items():
        if old != new[name]:
            shown = _shown(new[name])
            changes.append(f'{name} from {_shown(old)} to {shown}')
    return ', '.join(changes)


def _shown(found: Any) -> str:
    match found:
        case frozenset():
            return ' and '.join(sorted(found)) or 'all'
        case [WeightedService(), *_]:
            return ' and '.join(
                f'{each.service} ({each.weight:g})' for each in found
            )
    return str(found)


def _keys(before: _Keys, after: _Keys) -> Iterator[Difference]:
    for workspace in sorted(before.keys() & after.keys()):
        old = before[workspace]
        new = after[workspace]
        yield from _key_changes(workspace, _ADDED, new - old)
        yield from _key_changes(workspace, _REMOVED, old - new)


def _key_changes(
    workspace: str, change: str, digests: frozenset[str]
) -> Iterator[Difference]:
    effect = _EFFECTS['key', change]
    for digest in sorted(digests):
        place = f'key {digest} of workspace {workspace}'
        yield Difference(change, place, effect)
