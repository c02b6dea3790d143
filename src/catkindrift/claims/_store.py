"""Claims in the platform."""

import uuid
from collections import deque
from typing import final

import attrs
from absl import logging

from catkindrift.claims._claim import (
    RETENTION_MS,
    Claim,
    ClaimState,
    HeldClaim,
)
from catkindrift.claims._verdict import (
    ClaimUnavailable,
    Granted,
    Verdict,
    judge,
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
_DOWN = (PlatformUnavailableError, PlatformAmbiguousError)


@final
@attrs.frozen
class _Uncertain:
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
    _endings: deque[HeldClaim] = attrs.field(init=False, factory=deque)
    _uncertain: deque[_Uncertain] = attrs.field(init=False, factory=deque)

    @property
    def pending(self) -> int:
        """Return the writes that the platform has not taken yet."""
        return len(self._endings) + len(self._uncertain)

    async def take(
        self,
        name: str,
        service: str,
        digest: str,
        time_limit_ms: int,
    ) -> Verdict:
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
            return await self._take(name, claim)
        except (PlatformConflictError, PlatformUnavailableError):
            return ClaimUnavailable()
        except PlatformAmbiguousError:
            self._uncertain.append(_Uncertain(name, claim))
            return ClaimUnavailable()

    async def end(
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
        if not await self._write(ending):
            self._endings.append(ending)

    async def retry_pending(self) -> None:
        """Write what the platform did not take before."""
        while self._endings:
            if not await self._write(self._endings[0]):
                return
            self._endings.popleft()
        while self._uncertain:
            if not await self._release(self._uncertain[0]):
                return
            self._uncertain.popleft()

    async def _take(self, name: str, claim: Claim) -> Verdict:
        try:
            stored = await self._platform.create(
                _KIND, name, encode_json(claim)
            )
        except PlatformConflictError:
            return await self._take_over(name, claim)
        return Granted(HeldClaim(stored, claim))

    async def _take_over(self, name: str, claim: Claim) -> Verdict:
        stored = await self._platform.get(_KIND, name)
        if stored is None:
            return ClaimUnavailable()
        found = decode_json(stored.text, Claim)
        wall_ms = claim.written_wall_ms
        age_ms = wall_ms - found.written_wall_ms
        if found.state is not ClaimState.RELEASED and age_ms <= RETENTION_MS:
            return judge(found, claim.body_digest, wall_ms)
        taken = await self._platform.update(stored, encode_json(claim))
        return Granted(HeldClaim(taken, claim))

    async def _write(self, ending: HeldClaim) -> bool:
        try:
            await self._platform.update(
                ending.stored, encode_json(ending.claim)
            )
        except _DOWN:
            return False
        except PlatformConflictError:
            logging.info('claim %s has already ended', ending.claim.claim_id)
        return True

    async def _release(self, uncertain: _Uncertain) -> bool:
        try:
            stored = await self._platform.get(_KIND, uncertain.name)
        except _DOWN:
            return False
        if stored is None or not _is_same(stored, uncertain.claim):
            return True
        released = attrs.evolve(uncertain.claim, state=ClaimState.RELEASED)
        return await self._write(HeldClaim(stored, released))


def _is_same(stored: StoredObject, claim: Claim) -> bool:
    return decode_json(stored.text, Claim).claim_id == claim.claim_id
