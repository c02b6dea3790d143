"""The story of one request, from the logs of all entry VMs."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, final

import attrs

from catkindrift.errors import InvalidInputError, NotFoundError

_LEADING_KEYS = ('at_ms', 'vm', 'event', 'id')


@final
@attrs.frozen
class RequestTrace:
    """What the logs say about one request.

    Args:
        request_id: Id of the caller's attempt.
        entries: Lines about it in the order of time.
        torn: Lines that begin like an entry and are not whole.
        left_out: Lines that entry VMs did not write, at about that time.
    """

    request_id: str
    entries: tuple[dict[str, Any], ...]
    torn_lines: int
    dropped_lines: int

    @property
    def document(self) -> dict[str, Any]:
        """Return the story as plain data."""
        return {
            'id': self.request_id,
            'entries': list(self.entries),
            'torn_lines': self.torn_lines,
            'left_out_lines': self.dropped_lines,
        }

    @property
    def text(self) -> str:
        """Return the story for people."""
        lines = [_format_entry(entry) for entry in self.entries]
        if self.torn_lines:
            lines.append(f'{self.torn_lines} torn lines were passed over')
        if self.dropped_lines:
            lines.append(
                f'{self.dropped_lines} lines were left out under load; '
                'some may be about this request',
            )
        return '\n'.join(lines)


def read_request_trace(request_id: str, paths: Iterable[str]) -> RequestTrace:
    """Return what log files say about a request.

    Args:
        request_id: Id of the caller's attempt.
        paths: Log files of entry VMs; foreign lines are passed over.

    Raises:
        InvalidInputError: A file cannot be read.
        NotFoundError: No line is about the request.
    """
    lines = [line for path in paths for line in _read_entry_lines(path)]
    decoded = [_decode_entry(line) for line in lines]
    known = [entry for entry in decoded if entry is not None]
    entries = [entry for entry in known if entry.get('id') == request_id]
    if not entries:
        raise NotFoundError(
            f'no line is about {request_id}; give the logs of all entry VMs. '
            'A request that its first upstream answered leaves none',
        )
    left_out = sum(
        entry.get('lines', 0)
        for entry in known
        if entry.get('event') == 'left_out'
    )
    return RequestTrace(
        request_id,
        tuple(sorted(entries, key=_timestamp_ms)),
        decoded.count(None),
        left_out,
    )


def _read_entry_lines(path: str) -> list[str]:
    try:
        text = Path(path).read_text(encoding='utf-8', errors='replace')
    except OSError as unreadable:
        raise InvalidInputError(
            f'{path}: {unreadable.strerror}; name a readable log file',
        ) from unreadable
    return [line for line in text.splitlines() if '{"at_ms"' in line]


def _decode_entry(line: str) -> dict[str, Any] | None:
    """Return the entry in a line, whatever a collector put before it."""
    begin = line.index('{"at_ms"')
    try:
        entry = json.loads(line[begin:])
    except ValueError:
        return None
    return entry if isinstance(entry, dict) else None


def _timestamp_ms(entry: dict[str, Any]) -> int:
    return int(entry.get('at_ms', 0))


def _format_entry(entry: dict[str, Any]) -> str:
    details = ' '.join(
        f'{key}={found}'
        for key, found in entry.items()
        if key not in _LEADING_KEYS
    )
    when = _timestamp_ms(entry)
    return f'{when} {entry.get("vm")} {entry.get("event")}: {details}'
