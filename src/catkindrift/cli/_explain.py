"""The story of one request, from the logs of all entry VMs."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, final

import attrs

from catkindrift.errors import InvalidInputError, NotFoundError

_SHOWN_FIRST = ('at_ms', 'vm', 'event', 'id')


@final
@attrs.frozen
class Story:
    """What the logs say about one request.

    Args:
        request_id: Id of the caller's attempt.
        entries: Lines about it in the order of time.
        torn: Lines that begin like an entry and are not whole.
        left_out: Lines that entry VMs did not write, at about that time.
    """

    request_id: str
    entries: tuple[dict[str, Any], ...]
    torn: int
    left_out: int

    @property
    def document(self) -> dict[str, Any]:
        """Return the story as plain data."""
        return {
            'id': self.request_id,
            'entries': list(self.entries),
            'torn_lines': self.torn,
            'left_out_lines': self.left_out,
        }

    @property
    def text(self) -> str:
        """Return the story for people."""
        lines = [_line(entry) for entry in self.entries]
        if self.torn:
            lines.append(f'{self.torn} torn lines were passed over')
        if self.left_out:
            lines.append(
                f'{self.left_out} lines were left out under load; '
                'some may be about this request',
            )
        return '\n'.join(lines)


def read_story(request_id: str, paths: Iterable[str]) -> Story:
    """Return what log files say about a request.

    Args:
        request_id: Id of the caller's attempt.
        paths: Log files of entry VMs; foreign lines are passed over.

    Raises:
        InvalidInputError: A file cannot be read.
        NotFoundError: No line is about the request.
    """
    lines = [line for path in paths for line in _lines(path)]
    decoded = [_decoded(line) for line in lines]
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
    return Story(
        request_id,
        tuple(sorted(entries, key=_time)),
        decoded.count(None),
        left_out,
    )


def _lines(path: str) -> list[str]:
    try:
        text = Path(path).read_text(encoding='utf-8', errors='replace')
    except OSError as unreadable:
        raise InvalidInputError(
            f'{path}: {unreadable.strerror}; name a readable log file',
        ) from unreadable
    return [line for line in text.splitlines() if '{"at_ms"' in line]


def _decoded(line: str) -> dict[str, Any] | None:
    """Return the entry in a line, whatever a collector put before it."""
    begin = line.index('{"at_ms"')
    try:
        entry = json.loads(line[begin:])
    except ValueError:
        return None
    return entry if isinstance(entry, dict) else None


def _time(entry: dict[str, Any]) -> int:
    return int(entry.get('at_ms', 0))


def _line(entry: dict[str, Any]) -> str:
    details = ' '.join(
        f'{key}={found}'
        for key, found in entry.items()
        if key not in _SHOWN_FIRST
    )
    when = _time(entry)
    return f'{when} {entry.get("vm")} {entry.get("event")}: {details}'
