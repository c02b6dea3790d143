"""Reads the load that an upstream reports in its responses."""

from typing import Final, final

import attrs

from catkindrift.http1 import ResponseHead, find_header
from catkindrift.platform._headers import LOAD
from catkindrift.steering import LoadReport

# Names of the figures in their order in the header.
_NAMES: Final = ('running', 'waiting', 'slots', 'speed')
# The first three figures are required.
_REQUIRED_COUNT = 3
_Figure = int | None
# Figures that may be 0; the others are at least 1.
_MAY_BE_ZERO: Final = frozenset(('running', 'waiting'))
# Highest valid value; no upstream has that many slots or requests.
_MAX_FIGURE = 1_000_000


@final
@attrs.frozen
class LoadFigures:
    """Figures of one load header that are valid.

    Args:
        report: Load; None if one of its three figures is missing or invalid.
        speed_percent: Time that work takes on the host at this moment, in
            percent of the usual time; None if it is not stated or invalid.
        refused: Names of the missing and invalid figures.
    """

    report: LoadReport | None = None
    speed_percent: int | None = None
    refused: tuple[str, ...] = ()


def parse_load_figures(head: ResponseHead) -> LoadFigures:
    """Return the load that an upstream reports.

    The speed of the host is checked apart from the load, so that an invalid
    one doesn't hide the other.
    """
    stated = find_header(head.headers, LOAD)
    fields = stated.split(b',') if stated else []
    if not fields:
        return LoadFigures()
    if len(fields) > len(_NAMES):
        return LoadFigures(refused=('surplus',))
    count = max(len(fields), _REQUIRED_COUNT)
    fields.extend(b'' for _ in range(count - len(fields)))
    figures = {
        name: _parse(field, name)
        for field, name in zip(fields, _NAMES, strict=False)
    }
    return LoadFigures(
        _report(list(figures.values())[:_REQUIRED_COUNT]),
        figures.get('speed'),
        tuple(name for name in figures if figures[name] is None),
    )


def _parse(field: bytes, name: str) -> _Figure:
    # The length is checked first, since int() fails on thousands of digits.
    is_long = len(field) > len(str(_MAX_FIGURE))
    if is_long or not field.isdigit():
        return None
    figure = int(field)
    if figure == 0 and name not in _MAY_BE_ZERO:
        return None
    return figure if figure <= _MAX_FIGURE else None


def _report(figures: list[_Figure]) -> LoadReport | None:
    stated = [each for each in figures if each is not None]
    if len(stated) < len(figures):
        return None
    return LoadReport(*stated)
