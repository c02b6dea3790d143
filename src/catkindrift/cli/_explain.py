"""Trace of one request, read from the logs of all entry VMs."""

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
    """Log entries of one request.

    Args:
        request_id: Id of the caller's attempt.
        entries: Log entries of the request in chronological order.
        torn_lines: Number of truncated log entries in the files.
        dropped_lines: Number of log lines that the entry VMs dropped under
            load; some may belong to the request.
    """

    request_id: str
    entries: tuple[dict[str, Any], ...]
    torn_lines: int
    dropped_lines: int

    @property
    def document(self) -> dict[str, Any]:
        """Return the trace as JSON-compatible data."""
        return {
            'id': self.request_id,
            'entries': list(self.entries),
            'torn_lines': self.torn_lines,
            'left_out_lines': self.dropped_lines,
        }

    @property
    def text(self) -> str:
        """Return the trace as text, one line per entry."""
        lines = [_format_entry(entry) for entry in self.entries]
        if self.torn_lines:
            lines.append(f'{self.torn_lines} torn lines were skipped')
        if self.dropped_lines:
            lines.append(
                f'{self.dropped_lines} lines were dropped under load; '
                'some may be about this request',
            )
        return '\n'.join(lines)


def read_request_trace(request_id: str, paths: Iterable[str]) -> RequestTrace:
    """Collect the entries of a request from log files.

    Args:
        request_id: Id of the caller's attempt.
        paths: Log files of entry VMs. Lines without a log entry are ignored.

    Raises:
        InvalidInputError: A file cannot be read.
        NotFoundError: No entry is about the request.
    """
    lines = [line for path in paths for line in _read_entry_lines(path)]
    decoded = [_decode_entry(line) for line in lines]
    complete = [entry for entry in decoded if entry is not None]
    entries = [entry for entry in complete if entry.get('id') == request_id]
    if not entries:
        raise NotFoundError(
            f'no log entry for {request_id}; pass the logs of all entry VMs. '
            'A request that its first upstream answered is not logged',
        )
    dropped_lines = sum(
        entry.get('lines', 0)
        for entry in complete
        if entry.get('event') == 'left_out'
    )
    return RequestTrace(
        request_id,
        tuple(sorted(entries, key=_timestamp_ms)),
        decoded.count(None),
        dropped_lines,
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
    """Decode the entry in a line, after any prefix of a log collector."""
    start = line.index('{"at_ms"')
    try:
        entry = json.loads(line[start:])
    except ValueError:
        return None
    return entry if isinstance(entry, dict) else None


def _timestamp_ms(entry: dict[str, Any]) -> int:
    return int(entry.get('at_ms', 0))


def _format_entry(entry: dict[str, Any]) -> str:
    details = ' '.join(
        f'{key}={field}'
        for key, field in entry.items()
        if key not in _LEADING_KEYS
    )
    at_ms = _timestamp_ms(entry)
    return f'{at_ms} {entry.get("vm")} {entry.get("event")}: {details}'
