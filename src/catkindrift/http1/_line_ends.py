"""Blanks at the ends of lines that a parser would not accept."""

from collections.abc import Callable, Iterator
from typing import Final, final

import attrs

from catkindrift.http1._headers import BLANKS

_CRLF: Final = b'\r\n'
_TAB: Final = b'\t'


@final
@attrs.define(eq=False, repr=False)
class LineEnds:
    """Feeds a parser, with spaces for tabs at the ends of lines of a head.

    Blanks behind a header's value don't belong to it (RFC 9110, section 5.5).
    The parser leaves out spaces there, but takes a tab for a part of a
    transfer coding.

    Args:
        parse: Parses bytes.
        is_in_head: Returns whether the bytes parsed last are within a head.
    """

    _parse: Callable[[bytes], None]
    _is_in_head: Callable[[], bool]
    _held: bytes = attrs.field(init=False, default=b'')

    def feed(self, chunk: bytes) -> None:
        """Parse bytes.

        Blanks at the end of the bytes wait for those that follow.

        Args:
            chunk: Bytes as received.
        """
        received = self._held + chunk
        self._held = b''
        if _TAB not in received:
            self._parse(received)
            return
        parsed = 0
        for start, end in _blanks_with_tabs(received):
            self._parse(received[parsed:start])
            parsed = end
            blanks = received[start:end]
            if self._is_in_head():
                if not received.startswith(_CRLF, end):
                    self._held = received[start:]
                    return
                blanks = blanks.replace(_TAB, b' ')
            self._parse(blanks)
        self._parse(received[parsed:])


def _blanks_with_tabs(received: bytes) -> Iterator[tuple[int, int]]:
    """Yield start and end of blanks that may end a line and hold a tab."""
    end = received.find(_CRLF)
    while end >= 0:
        yield from _blanks_before(received, end)
        end = received.find(_CRLF, end + len(_CRLF))
    has_half_line_end = received.endswith(_CRLF[:1])
    yield from _blanks_before(received, len(received) - has_half_line_end)


def _blanks_before(received: bytes, end: int) -> Iterator[tuple[int, int]]:
    start = end
    while start and received[start - 1] in BLANKS:
        start -= 1
    if received.find(_TAB, start, end) >= 0:
        yield start, end
