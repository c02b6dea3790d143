"""Look-up of workspaces by API key."""

import os
from collections.abc import Iterable, Mapping
from typing import final

import attrs

from catkindrift.errors import ConfigurationEntryError
from catkindrift.workspaces._workspace import Workspace

# A workspace with its API keys.
KeyedWorkspace = tuple[Workspace, list[str]]
# All entry VMs compute the same digests, so that one can check a request that
# another hands over. The key separates them from digests used elsewhere.
_DIGEST_KEY = b'catkindrift api key'
_DIGEST_BYTES = 16


# Known to this process alone, so that callers can't choose what is compared
# when a key is looked up.
_INDEX_KEY = os.urandom(_DIGEST_BYTES)


def key_digest(api_key: bytes) -> bytes:
    """Return the digest by which entry VMs tell each other an API key."""
    return _keyed_digest(api_key, _DIGEST_KEY)


def _keyed_digest(message: bytes, key: bytes) -> bytes:
    # Takes 3.6 MB, which deployments without workspaces don't need.
    from hashlib import blake2b  # noqa: PLC0415

    return blake2b(message, digest_size=_DIGEST_BYTES, key=key).digest()


@final
@attrs.frozen
class WorkspaceTable:
    """The workspaces of one configuration; holds digests of keys only.

    Args:
        workspaces: All workspaces, also those without keys.
    """

    workspaces: tuple[Workspace, ...] = ()
    _index: Mapping[bytes, Workspace] = attrs.field(factory=dict, repr=False)

    @classmethod
    def build(
        cls, entries: Iterable[KeyedWorkspace]
    ) -> tuple['WorkspaceTable', list[ConfigurationEntryError]]:
        """Return the table of workspaces and their keys, and the mistakes.

        Two workspaces may not have the same name or the same key.
        """
        index: dict[bytes, Workspace] = {}
        by_name: dict[str, Workspace] = {}
        mistakes: list[ConfigurationEntryError] = []
        for workspace, api_keys in entries:
            if by_name.setdefault(workspace.name, workspace) is not workspace:
                mistakes.append(_repeated_name(workspace))
            for api_key in api_keys:
                digest = key_digest(api_key.encode())
                indexed = _keyed_digest(digest, _INDEX_KEY)
                owner = index.setdefault(indexed, workspace)
                if owner is not workspace:
                    mistakes.append(_shared_key(workspace, owner, digest))
        return cls(tuple(by_name.values()), index), mistakes

    def __bool__(self) -> bool:
        """Return whether requests need a key at all."""
        return bool(self.workspaces)

    def find(self, digest: bytes) -> Workspace | None:
        """Return the workspace that holds a key, None if there is none.

        The time that it takes tells nothing of a key, since what is compared
        depends on a secret of this process.

        Args:
            digest: Digest of the key.
        """
        return self._index.get(_keyed_digest(digest, _INDEX_KEY))


def _repeated_name(workspace: Workspace) -> ConfigurationEntryError:
    return ConfigurationEntryError(
        f'workspace {workspace.name}',
        'stands there twice',
        'merge both entries, or rename one',
    )


def _shared_key(
    workspace: Workspace, owner: Workspace, digest: bytes
) -> ConfigurationEntryError:
    return ConfigurationEntryError(
        f'workspace {workspace.name}',
        f'has the key with digest {digest.hex()}, as has {owner.name}',
        'give each workspace keys of its own',
    )
