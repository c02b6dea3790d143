"""Storage of claims in the platform."""

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
    """A claim whose write may or may not have been applied."""

    name: str
    claim: Claim


@final
@attrs.define
class ClaimStore:
    """Acquires claims and records the outcomes of their requests.

    Writes that the platform did not accept are queued for
    `retry_pending`.

    Args:
        platform: Platform client that already resolves ambiguous writes
            where it can.
        clock: Source of wall-clock time.
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
        """Return the number of writes that wait to be retried."""
        return len(self._pending_outcomes) + len(self._ambiguous_claims)

    async def acquire(
        self,
        name: str,
        service: str,
        digest: str,
        time_limit_ms: int,
    ) -> ClaimResult:
        """Claim a request before it is dispatched.

        When it is unknown whether the claim was written, the request must not
        run, and the claim is queued to be released.

        Args:
            name: Digest of service, caller and idempotency key.
            service: Service of the request.
            digest: Digest of method, path and body.
            time_limit_ms: Time after which the request has certainly ended.

        Returns:
            `ClaimAcquired` when the request may be dispatched, else why not.
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
        response: RecordedAnswer | None,
    ) -> None:
        """Record the outcome of a claimed request.

        When the platform is unavailable, the write is queued for retry. Until
        it succeeds, the stored claim still prevents any other dispatch.

        Args:
            held: The claim of the request.
            state: State to store.
            response: Complete response to store, if any.
        """
        claim = attrs.evolve(held.claim, state=state, answer=response)
        outcome = attrs.evolve(held, claim=claim)
        if not await self._write_outcome(outcome):
            self._pending_outcomes.append(outcome)

    async def retry_pending(self) -> None:
        """Retry the queued writes in order, until one fails again."""
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
        existing = decode_json(stored.text, Claim)
        wall_ms = claim.written_wall_ms
        age_ms = wall_ms - existing.written_wall_ms
        if (
            existing.state is not ClaimState.RELEASED
            and age_ms <= CLAIM_RETENTION_MS
        ):
            return classify_existing(existing, claim.body_digest, wall_ms)
        updated = await self._platform.update(stored, encode_json(claim))
        return ClaimAcquired(HeldClaim(updated, claim))

    async def _write_outcome(self, outcome: HeldClaim) -> bool:
        try:
            await self._platform.update(
                outcome.stored, encode_json(outcome.claim)
            )
        except _UNAVAILABLE_ERRORS:
            return False
        except PlatformConflictError:
            logging.info(
                'claim %s was already updated; its outcome is not written',
                outcome.claim.claim_id,
            )
        return True

    async def _release_if_written(self, ambiguous: _AmbiguousClaim) -> bool:
        try:
            stored = await self._platform.get(_KIND, ambiguous.name)
        except _UNAVAILABLE_ERRORS:
            return False
        if stored is None or not _has_same_id(stored, ambiguous.claim):
            return True
        released = attrs.evolve(ambiguous.claim, state=ClaimState.RELEASED)
        return await self._write_outcome(HeldClaim(stored, released))


def _has_same_id(stored: StoredObject, claim: Claim) -> bool:
    return decode_json(stored.text, Claim).claim_id == claim.claim_id
