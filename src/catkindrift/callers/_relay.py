"""Passes an upstream's answer on to the caller."""

import base64
import time
from collections.abc import Callable, Iterator
from typing import final

import attrs
from urllib3.exceptions import HTTPError, ReadTimeoutError

from catkindrift.callers._body import CHUNK_BYTES
from catkindrift.callers._upstream_client import OpenAnswer
from catkindrift.retries import (
    Answered,
    AttemptResult,
    Broken,
    BrokenReason,
    CallerGone,
    RecordedAnswer,
)
from catkindrift.serving import IncompleteAnswerError

RECORDED_BYTES = 65_536
_HOP_HEADERS = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'trailer'),
)


@final
@attrs.define(eq=False)
class Relay:
    """Iterates over an answer and reports how the attempt ended.

    Args:
        answer: The open answer.
        ended: Called once with the result.
        deadline: Time by which the answer must be through, as
            ``time.monotonic`` gives it.
        keeps_answer: A small answer has to be part of the result.
    """

    _answer: OpenAnswer
    _ended: Callable[[AttemptResult], None]
    _deadline: float
    _keeps_answer: bool
    _kept: bytes | None = attrs.field(init=False, default=b'')
    _is_reported: bool = attrs.field(init=False, default=False)

    @property
    def status_line(self) -> str:
        """Return status code and phrase."""
        response = self._answer.response
        return f'{response.status} {response.reason or "Unknown"}'

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Return the end-to-end headers of the answer."""
        return [
            (name, text)
            for name, text in self._answer.response.headers.items()
            if name.lower() not in _HOP_HEADERS
        ]

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body in pieces.

        Raises:
            IncompleteAnswerError: The upstream broke off.
        """
        response = self._answer.response
        try:
            for piece in response.stream(CHUNK_BYTES, decode_content=False):
                self._keep(piece)
                self._check_deadline()
                yield piece
        except ReadTimeoutError as late:
            self._report(Broken(BrokenReason.TIMEOUT, can_resend=False))
            raise IncompleteAnswerError('the deadline has passed') from late
        except (HTTPError, OSError) as broken:
            self._report(Broken(BrokenReason.INCOMPLETE, can_resend=False))
            raise IncompleteAnswerError('the upstream broke off') from broken
        response.release_conn()
        self._report(self._answered())

    def close(self) -> None:
        """End an answer that the caller did not take to its end."""
        if not self._is_reported:
            self._answer.response.close()
            self._report(CallerGone())

    def _keep(self, piece: bytes) -> None:
        if not self._keeps_answer or self._kept is None:
            return
        self._kept += piece
        if len(self._kept) > RECORDED_BYTES:
            self._kept = None

    def _check_deadline(self) -> None:
        if time.monotonic() > self._deadline:
            raise OSError('the deadline has passed')

    def _answered(self) -> Answered:
        answer = self._answer
        recorded: RecordedAnswer | None = None
        if self._keeps_answer and self._kept is not None:
            recorded = RecordedAnswer(
                answer.response.status,
                answer.response.headers.get('content-type', ''),
                base64.b64encode(self._kept).decode(),
            )
        return Answered(
            answer.response.status,
            answer.latency_ms,
            answer.is_leaving,
            answer.busy_slots,
            recorded,
        )

    def _report(self, ended: AttemptResult) -> None:
        if not self._is_reported:
            self._is_reported = True
            if not isinstance(ended, Answered):
                self._answer.response.close()
            self._ended(ended)
