"""Connections to the store that have fallen silent."""

import logging
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock

_LOG = logging.getLogger(__name__)
# Notices of one silence differ by less than this: the age that a heartbeat
# tells grows by its way.
_SAME_NOTICE_MS = 1000
# Heartbeats repeat a notice for this long, as any of them may be lost.
_TOLD_MS = 3000


def _do_nothing() -> None:
    """Ignore a notice where nobody needs it."""


@final
@attrs.define(eq=False, repr=False)
class StoreSilence:
    """When a VM last found that its connections to the store are silent.

    Connections of other VMs may have fallen silent at the same time, and no
    reset shows it. So all VMs are told, and repeat their watches.

    Args:
        clock: Source of time.
        on_notice: Called whenever a silence is noticed.
        on_found: Called when this VM has found a silence itself.
        on_heard: Called when another VM has told of one.
    """

    _clock: Clock
    on_notice: Callable[[], None] = _do_nothing
    on_found: Callable[[], None] = _do_nothing
    on_heard: Callable[[], None] = _do_nothing
    found_count: int = attrs.field(init=False, default=0)
    heard_count: int = attrs.field(init=False, default=0)
    _noticed_ms: int | None = attrs.field(init=False, default=None)

    @property
    def age_ms(self) -> int | None:
        """Time since the last silence was found; None if long ago."""
        if self._noticed_ms is None:
            return None
        age_ms = self._clock.now_ms() - self._noticed_ms
        return age_ms if age_ms <= _TOLD_MS else None

    def record_found(self, kind: str, waited_ms: int) -> None:
        """Record that a watch got no response, but a new connection did.

        Args:
            kind: Kind of the objects that were watched.
            waited_ms: How long the watch had been without a response.
        """
        if not self._is_new(0):
            return
        self.found_count += 1
        _LOG.warning(
            'connections to the store are silent: the watch of %s had no '
            'response in %d ms, a new connection has one; telling all VMs',
            kind,
            waited_ms,
        )
        self.on_notice()
        self.on_found()

    def learn(self, age_ms: int) -> None:
        """Record what another VM tells.

        Args:
            age_ms: Time since the silence was found.
        """
        if age_ms > _TOLD_MS or not self._is_new(age_ms):
            return
        self.heard_count += 1
        _LOG.info(
            'another VM found connections to the store silent %d ms ago; '
            'repeating the watches',
            age_ms,
        )
        self.on_notice()
        self.on_heard()

    def _is_new(self, age_ms: int) -> bool:
        noticed_ms = self._clock.now_ms() - age_ms
        known_ms = self._noticed_ms
        if known_ms is not None and noticed_ms < known_ms + _SAME_NOTICE_MS:
            return False
        self._noticed_ms = noticed_ms
        return True
