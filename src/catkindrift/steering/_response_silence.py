"""Silence of all upstreams while requests are in flight."""

from typing import final

import attrs

from catkindrift.clock import Clock

_SILENCE_MS = 700
_MIN_REQUESTS = 2


@final
@attrs.define(eq=False, repr=False)
class ResponseSilence:
    """Notices that no upstream responds, whatever connections still exist.

    Args:
        clock: Source of time.
        responded_ms: Time of the newest response; None if there was none.
    """

    _clock: Clock
    responded_ms: int | None = attrs.field(init=False, default=None)
    _in_flight: int = attrs.field(init=False, default=0)
    _since_ms: int = attrs.field(init=False, default=0)

    @property
    def is_suspicious(self) -> bool:
        """Whether several requests are in flight and none gets a response."""
        silence_ms = self._clock.now_ms() - self._since_ms
        return self._in_flight >= _MIN_REQUESTS and silence_ms >= _SILENCE_MS

    def record_request(self) -> None:
        """Record that a request is sent to any upstream."""
        if not self._in_flight:
            self.restart()
        self._in_flight += 1

    def record_end(self) -> None:
        """Record that a request has ended, whatever its result."""
        self._in_flight -= 1

    def record_response(self) -> None:
        """Record a response of any upstream."""
        self.restart()
        self.responded_ms = self._clock.now_ms()

    def restart(self) -> None:
        """Restart the measurement, as an upstream has been reached."""
        self._since_ms = self._clock.now_ms()
