"""Claims in the platform."""

import uuid
from collections import deque
from typing import final

import attrs
from absl import logging

from catkindrift.claims._claim import (
    CLAIM_RETENTION_MS,
    Claim,
    ClaimState,
    HeldClaim,
)
from catkindrift.claims._claim_result import (
    ClaimAcquired,
    ClaimResult,
    ClaimUnavailable,
    classify_existing,
)
from catkindrift.clock import Clock
from catkindrift.domain import decode_json, encode_json
from catkindrift.errors import (
    PlatformAmbiguousError,
    PlatformConflictError,
    PlatformUnavailableError,
)
from catkindrift.retries import RecordedAnswer
from catkindrift.store import Platform, StoredObject

_KIND = 'claim'
_UNAVAILABLE_ERRORS = (PlatformUnavailableError, PlatformAmbiguousError)


@final
@attrs.frozen
class _AmbiguousClaim:
    """A claim whose write may or may not have taken effect."""

    name: str
    claim: Claim


@final
@attrs.define
class ClaimStore:
    """Takes and ends claims; unfinished endings are kept and retried.

    Args:
        platform: The platform, with lost answers resolved.
        clock: Source of time.
        holder: Name of this incarnation of the entry VM.
    """

    _platform: Platform
    _clock: Clock
    _holder: str
    _pending_outcomes: deque[HeldClaim] = attrs.field(init=False, factory=deque)
    _ambiguous_claims: deque[_AmbiguousClaim] = attrs.field(
        init=False, factory=deque
    )

    @property
    def pending_writes(self) -> int:
        """Return the writes that the platform has not taken yet."""
        return len(self._pending_outcomes) + len(self._ambiguous_claims)

    async def acquire(
        self,
        name: str,
        service: str,
        digest: str,
        time_limit_ms: int,
    ) -> ClaimResult:
        """Claim a request before it is dispatched.

        Args:
            name: Digest of service, caller and idempotency key.
            service: Service of the request.
            digest: Digest of method, path and body.
            time_limit_ms: Time after which the request has surely ended.
        """
        wall_ms = self._clock.wall_ms()
        claim = Claim(
            uuid.uuid4().hex,
            service,
            digest,
            self._holder,
            ClaimState.CLAIMED,
            wall_ms,
            wall_ms + time_limit_ms,
        )
        try:
            return await self._acquire(name, claim)
        except (PlatformConflictError, PlatformUnavailableError):
            return ClaimUnavailable()
        except PlatformAmbiguousError:
            self._ambiguous_claims.append(_AmbiguousClaim(name, claim))
            return ClaimUnavailable()

    async def record_outcome(
        self,
        held: HeldClaim,
        state: ClaimState,
        answer: RecordedAnswer | None,
    ) -> None:
        """Record how a claimed request ended.

        When the platform is down the ending is kept and retried; until it is
        written the claim still bars any other dispatch.
        """
        ended = attrs.evolve(held.claim, state=state, answer=answer)
        ending = attrs.evolve(held, claim=ended)
        if not await self._write_outcome(ending):
            self._pending_outcomes.append(ending)

    async def retry_pending(self) -> None:
        """Write what the platform did not take before."""
        while self._pending_outcomes:
            if not await self._write_outcome(self._pending_outcomes[0]):
                return
            self._pending_outcomes.popleft()
        while self._ambiguous_claims:
            if not await self._release_if_written(self._ambiguous_claims[0]):
                return
            self._ambiguous_claims.popleft()

    async def _acquire(self, name: str, claim: Claim) -> ClaimResult:
        try:
            stored = await self._platform.create(
                _KIND, name, encode_json(claim)
            )
        except PlatformConflictError:
            return await self._take_over(name, claim)
        return ClaimAcquired(HeldClaim(stored, claim))

    async def _take_over(self, name: str, claim: Claim) -> ClaimResult:
        stored = await self._platform.get(_KIND, name)
        if stored is None:
            return ClaimUnavailable()
        found = decode_json(stored.text, Claim)
        wall_ms = claim.written_wall_ms
        age_ms = wall_ms - found.written_wall_ms
        if (
            found.state is not ClaimState.RELEASED
            and age_ms <= CLAIM_RETENTION_MS
        ):
            return classify_existing(found, claim.body_digest, wall_ms)
        taken = await self._platform.update(stored, encode_json(claim))
        return ClaimAcquired(HeldClaim(taken, claim))

    async def _write_outcome(self, ending: HeldClaim) -> bool:
        try:
            await self._platform.update(
                ending.stored, encode_json(ending.claim)
            )
        except _UNAVAILABLE_ERRORS:
            return False
        except PlatformConflictError:
            logging.info('claim %s has already ended', ending.claim.claim_id)
        return True

    async def _release_if_written(self, uncertain: _AmbiguousClaim) -> bool:
        try:
            stored = await self._platform.get(_KIND, uncertain.name)
        except _UNAVAILABLE_ERRORS:
            return False
        if stored is None or not _has_same_id(stored, uncertain.claim):
            return True
        released = attrs.evolve(uncertain.claim, state=ClaimState.RELEASED)
        return await self._write_outcome(HeldClaim(stored, released))


def _has_same_id(stored: StoredObject, claim: Claim) -> bool:
    return decode_json(stored.text, Claim).claim_id == claim.claim_id
