"""Eras of the platform's store, and revisions that compare across them."""

from collections.abc import Callable
from typing import Final, final

import attrs

from catkindrift.errors import HistoryGoneError, PlatformUnavailableError
from catkindrift.http1 import ResponseHead, find_header
from catkindrift.platform._headers import ERA

# Bits of a revision below the era; the store does not reach so many changes.
_REVISION_BITS: Final = 40
_REVISION_MASK: Final = (1 << _REVISION_BITS) - 1


def _ignore() -> None:
    """Ignore a new era."""


@final
@attrs.define(eq=False, repr=False)
class StoreEra:
    """Makes revisions of the store increase across its eras.

    In a new era the store has lost its last changes and gives their revisions
    out again. Outside the platform package a revision holds the era too, so
    that any one of a newer era is greater.

    Args:
        number: Newest era that a response has stated; 0 before the first.
        on_change: Called when a newer era than the first is seen.
    """

    number: int = 0
    on_change: Callable[[], None] = _ignore
    _is_known: bool = attrs.field(init=False, default=False)

    def record(self, head: ResponseHead) -> None:
        """Record the era that a response states.

        Raises:
            PlatformUnavailableError: The response is from an older era.
        """
        stated = find_header(head.headers, ERA).strip()
        if not stated.isdigit():
            return
        self._update(int(stated))

    def adopt(self, qualified: int) -> None:
        """Record the era of a revision that another VM has read.

        Raises:
            PlatformUnavailableError: The revision is from an older era.
        """
        self._update(qualified >> _REVISION_BITS)

    def qualify(self, revision: int) -> int:
        """Return a revision of the present era, with the era."""
        return self.number << _REVISION_BITS | revision

    def plain(self, qualified: int) -> int:
        """Return the revision that the store knows.

        Raises:
            HistoryGoneError: It is of an older era.
        """
        if qualified >> _REVISION_BITS != self.number:
            raise HistoryGoneError('the store has a new era; list the kind')
        return qualified & _REVISION_MASK

    def _update(self, era: int) -> None:
        if era < self.number:
            raise PlatformUnavailableError(
                'the store responded from an older era; read again',
            )
        is_new = self._is_known and era > self.number
        self.number = era
        self._is_known = True
        if is_new:
            self.on_change()
