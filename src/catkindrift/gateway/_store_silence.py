"""Connections to the store that have fallen silent."""

import logging
import random
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock

_LOG = logging.getLogger(__name__)
# Several VMs find the same silence; one restart of the watches serves all of
# their notices.
_MIN_INTERVAL_MS = 1000
# Heartbeats repeat a notice for this long, as any of them may be lost.
_TOLD_MS = 3000
# Notices are told apart for longer than any heartbeat may be on its way.
_REMEMBERED_MS = 60_000
_ID_BITS = 48


def _do_nothing() -> None:
    """Ignore a notice where nobody needs it."""


@final
@attrs.define(eq=False, repr=False)
class StoreSilence:
    """When a VM last found that its connections to the store are silent.

    Connections of other VMs may have fallen silent at the same time, and no
    reset shows it. So all VMs are told, and repeat their watches. Each notice
    has an id, so that a VM acts on it once, however late it arrives.

    Args:
        clock: Source of time.
        on_notice: Called when the watches have to be repeated.
        on_found: Called when this VM has found a silence itself.
        on_heard: Called when another VM has told of one.
    """

    _clock: Clock
    on_notice: Callable[[], None] = _do_nothing
    on_found: Callable[[], None] = _do_nothing
    on_heard: Callable[[], None] = _do_nothing
    found_count: int = attrs.field(init=False, default=0)
    heard_count: int = attrs.field(init=False, default=0)
    notice_id: int = attrs.field(init=False, default=0)
    _noticed_ms: int = attrs.field(init=False, default=0)
    _acted_ms: int | None = attrs.field(init=False, default=None)
    _seen_ms: dict[int, int] = attrs.field(init=False, factory=dict)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    @property
    def age_ms(self) -> int | None:
        """Time since the last silence was found; None if long ago."""
        if not self.notice_id:
            return None
        age_ms = self._clock.elapsed_ms() - self._noticed_ms
        return age_ms if age_ms <= _TOLD_MS else None

    def record_found(self, kind: str, waited_ms: int) -> None:
        """Record that a watch got no response, but a new connection did.

        Args:
            kind: Kind of the objects that were watched.
            waited_ms: How long the watch had been without a response.
        """
        if not self._is_due():
            return
        self.found_count += 1
        _LOG.warning(
            'connections to the store are silent: the watch of %s had no '
            'response in %d ms, a new connection has one; telling all VMs',
            kind,
            waited_ms,
        )
        self._adopt(self._rng.getrandbits(_ID_BITS), 0)
        self.on_found()

    def learn(self, notice_id: int, age_ms: int) -> None:
        """Record what another VM tells.

        Args:
            notice_id: Id of the notice.
            age_ms: Time since the silence was found.
        """
        if not notice_id or notice_id in self._seen_ms or age_ms > _TOLD_MS:
            return
        if not self._is_due():
            self._seen_ms[notice_id] = self._clock.elapsed_ms()
            return
        self.heard_count += 1
        _LOG.info(
            'another VM found connections to the store silent %d ms ago; '
            'repeating the watches',
            age_ms,
        )
        self._adopt(notice_id, age_ms)
        self.on_heard()

    def _is_due(self) -> bool:
        """Return whether the watches have not just been repeated."""
        acted_ms = self._acted_ms
        now_ms = self._clock.elapsed_ms()
        return acted_ms is None or now_ms - acted_ms >= _MIN_INTERVAL_MS

    def _adopt(self, notice_id: int, age_ms: int) -> None:
        now_ms = self._clock.elapsed_ms()
        self._seen_ms = {
            each: seen_ms
            for each, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms < _REMEMBERED_MS
        }
        self._seen_ms[notice_id] = now_ms
        self.notice_id = notice_id
        self._noticed_ms = now_ms - age_ms
        self._acted_ms = now_ms
        self.on_notice()
