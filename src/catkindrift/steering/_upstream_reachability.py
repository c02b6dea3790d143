"""Evidence that this entry VM is cut off from all upstreams."""

from collections.abc import Callable
from typing import final

import attrs

from catkindrift.clock import Clock
from catkindrift.steering._response_silence import ResponseSilence

# Upstreams that must be unreachable; fewer only if there are fewer.
_MIN_UNREACHABLE = 3
# Upstreams that must be unreachable before others are probed.
_MIN_SUSPICIOUS = 2
# A peer must have reached an upstream this long after this VM could not; the
# age of what it reports grows on the way.
_PEER_SLACK_MS = 200
# Intervals between probes, while in doubt and while cut off.
_DOUBT_PROBE_MS = 300
_CUT_OFF_PROBE_MS = 500


@final
@attrs.define(eq=False, repr=False)
class UpstreamReachability:
    """Tells a cut of this VM from the failure of one upstream, or of all.

    It is cut off if no new connection succeeds, several upstreams and a probe
    of others have failed since, and another entry VM has reached an upstream
    in that time. If all upstreams have crashed, no other VM reaches one. Old
    connections may live on during a cut, so responses don't rule it out.

    Args:
        clock: Source of time.
        upstream_count: Returns the number of known upstreams.
        silence: Silence of all upstreams.
    """

    _clock: Clock
    _upstream_count: Callable[[], int]
    silence: ResponseSilence
    _failed_ms: dict[str, int] = attrs.field(init=False, factory=dict)
    _probe_failed_ms: int | None = attrs.field(init=False, default=None)
    _probed_ms: int = attrs.field(init=False, default=0)
    _connected_ms: int | None = attrs.field(init=False, default=None)
    _peer_reached_ms: int | None = attrs.field(init=False, default=None)

    @property
    def unreachable_count(self) -> int:
        """Number of upstreams that have failed since the last connect."""
        return len(self._failed_ms)

    @property
    def is_suspicious(self) -> bool:
        """Whether several upstreams have failed since the last connect."""
        return len(self._failed_ms) >= _MIN_SUSPICIOUS

    @property
    def failed_since_ms(self) -> int | None:
        """Time of the first failure since the last connect; None if none."""
        return min(self._failed_ms.values(), default=None)

    @property
    def reached_age_ms(self) -> int | None:
        """Time since an upstream was reached; None if none, or if cut off."""
        reached_ms = self._reached_ms
        if reached_ms is None or self.is_cut_off:
            return None
        return self._clock.now_ms() - reached_ms

    @property
    def is_cut_off(self) -> bool:
        """Whether this VM reaches no upstream, and another VM does."""
        since_ms = self.failed_since_ms
        probed_ms = self._probe_failed_ms
        peer_ms = self._peer_reached_ms
        if since_ms is None or probed_ms is None or peer_ms is None:
            return False
        enough = min(_MIN_UNREACHABLE, self._upstream_count())
        return (
            len(self._failed_ms) >= enough
            and probed_ms >= since_ms
            and peer_ms > since_ms + _PEER_SLACK_MS
        )

    @property
    def needs_probe(self) -> bool:
        """Whether new connections to other upstreams should be tried now."""
        probe_age_ms = self._clock.now_ms() - self._probed_ms
        if self.is_cut_off:
            return probe_age_ms >= _CUT_OFF_PROBE_MS
        is_in_doubt = self.is_suspicious or self.silence.is_suspicious
        return is_in_doubt and probe_age_ms >= _DOUBT_PROBE_MS

    def has_reached_since(self, at_ms: int) -> bool:
        """Return whether an upstream was reached after `at_ms`.

        Only a connect that began later shows it: responses may still arrive
        on connections that are older than a cut.
        """
        connected_ms = self._connected_ms
        return connected_ms is not None and connected_ms > at_ms

    def record_connect(self, began_ms: int) -> None:
        """Record a new connection to any upstream.

        Failures since the connect began stand: the upstream may have accepted
        it before a cut.

        Args:
            began_ms: When the connect began.
        """
        self._failed_ms = {
            incarnation: failed_ms
            for incarnation, failed_ms in self._failed_ms.items()
            if failed_ms > began_ms
        }
        probed_ms = self._probe_failed_ms
        if probed_ms is not None and probed_ms <= began_ms:
            self._probe_failed_ms = None
        self._connected_ms = max(self._connected_ms or 0, began_ms)
        self.silence.restart()

    def record_failed_connect(self, incarnation: str) -> None:
        """Record that an upstream has accepted no connection."""
        self._failed_ms.setdefault(incarnation, self._clock.now_ms())

    def begin_probe(self) -> None:
        """Record that a probe of some upstreams begins."""
        self._probed_ms = self._clock.now_ms()

    def record_failed_probe(self) -> None:
        """Record that no upstream of a probe has accepted a connection."""
        self._probe_failed_ms = self._clock.now_ms()

    def record_peer(self, reached_age_ms: int | None) -> None:
        """Record when another entry VM has reached an upstream."""
        if reached_age_ms is not None:
            self._peer_reached_ms = max(
                self._peer_reached_ms or 0,
                self._clock.now_ms() - reached_age_ms,
            )

    @property
    def _reached_ms(self) -> int | None:
        times_ms = (self._connected_ms, self.silence.responded_ms)
        return max((at for at in times_ms if at is not None), default=None)
