"""Whether the store answers, as seen by all watches of this VM."""

from typing import final

import attrs
from absl import logging

from catkindrift.clock import Clock

# Calls fail for this long, and none is answered, before the store counts as
# having been away.
_AWAY_MS = 1200


@final
@attrs.define(eq=False)
class StoreHealth:
    """Notes outages of the store, whichever kind is asked for.

    The first answer to any watch ends an outage: other watches may hear of
    it late, when calls from before have run into their time limits.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    returned_ms: int | None = attrs.field(init=False, default=None)
    _first_failed_ms: int | None = attrs.field(init=False, default=None)
    _last_failed_ms: int = attrs.field(init=False, default=0)

    def failed(self, reason: Exception) -> None:
        """Note a call that failed."""
        self._last_failed_ms = self._clock.now_ms()
        if self._first_failed_ms is None:
            self._first_failed_ms = self._last_failed_ms
            logging.warning('store: %s', reason)

    def answered(self) -> bool:
        """Note an answer, and return whether it ends an outage."""
        if self._first_failed_ms is None:
            return False
        failed_for_ms = self._last_failed_ms - self._first_failed_ms
        self._first_failed_ms = None
        logging.info('store: answers again')
        if failed_for_ms <= _AWAY_MS:
            return False
        self.returned_ms = self._clock.now_ms()
        return True
