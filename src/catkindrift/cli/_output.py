"""Output of commands."""

import json
import sys
from typing import Any


def print_document(document: Any, *, as_json: bool) -> None:
    """Print a document as JSON, a table or indented fields.

    Args:
        document: Dictionary, or list of dictionaries with the same keys.
        as_json: Print JSON instead of text.
    """
    if as_json:
        write_line(json.dumps(document, indent=2))
    elif isinstance(document, list):
        _print_table(document)
    else:
        _print_fields(document)


def write_line(text: str) -> None:
    """Print one line to the standard output and flush it."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def write_error(text: str) -> None:
    """Print one line to the standard error output."""
    sys.stderr.write(f'{text}\n')


def _print_table(rows: list[dict[str, Any]]) -> None:
    if not rows:
        write_line('(none)')
        return
    names = list(rows[0])
    lines = [names, *(_format_row(row, names) for row in rows)]
    widths = [_column_width(column) for column in zip(*lines, strict=True)]
    for line in lines:
        write_line('  '.join(map(str.ljust, line, widths)).rstrip())


def _print_fields(document: dict[str, Any], indent: str = '') -> None:
    for name, field in document.items():
        match field:
            case dict():
                write_line(f'{indent}{name}:')
                _print_fields(field, f'{indent}  ')
            case [dict(), *_]:
                write_line(f'{indent}{name}:')
                _print_items(field, indent)
            case _:
                write_line(f'{indent}{name}: {_format_value(field)}')


def _print_items(rows: list[dict[str, Any]], indent: str) -> None:
    for row in rows:
        write_line(f'{indent}  - {_format_inline(row)}')


def _format_inline(item: dict[str, Any]) -> str:
    fields = [f'{name}={_format_value(field)}' for name, field in item.items()]
    return ', '.join(fields)


def _format_value(field: Any) -> str:
    if isinstance(field, list):
        return ' '.join(_format_value(item) for item in field) or '-'
    if isinstance(field, dict):
        return _format_inline(field)
    return str(field)


def _format_row(row: dict[str, Any], names: list[str]) -> list[str]:
    return [_format_value(row.get(name)) for name in names]


def _column_width(column: tuple[str, ...]) -> int:
    return max(map(len, column))
