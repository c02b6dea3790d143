"""Entries of the platform's store that can't be decoded."""

import logging
from collections import Counter
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.platform._store_reply import UnreadableEntry

_LOG = logging.getLogger(__name__)
# Entries whose log line is remembered; beyond that they are logged again.
_MAX_LOGGED = 1000


@final
@attrs.define(eq=False, repr=False)
class UnreadableEntries:
    """Counts entries that can't be decoded, and logs each once.

    Args:
        counts: Entries met so far by kind, each time that it was read.
    """

    counts: Counter[str] = attrs.field(init=False, factory=Counter)
    _logged: set[tuple[str, str, int]] = attrs.field(init=False, factory=set)

    def record(self, kind: str, found: Iterable[UnreadableEntry]) -> None:
        """Record the unreadable entries of a page.

        Args:
            kind: Kind of the objects.
            found: The entries.
        """
        for entry in found:
            self.counts[kind] += 1
            self._log(kind, entry)

    def _log(self, kind: str, entry: UnreadableEntry) -> None:
        identity = (kind, entry.name, entry.revision)
        if identity in self._logged:
            return
        if len(self._logged) >= _MAX_LOGGED:
            self._logged.clear()
        self._logged.add(identity)
        _LOG.warning(
            'entry %s of %s at revision %d can not be read and names nothing '
            'to use: %s',
            entry.name or 'without a name',
            kind,
            entry.revision,
            entry.reason,
        )
