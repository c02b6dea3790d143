"""The report as lines of text."""

from catkindrift.report._burn import BurnRow

TITLES = (
    'service',
    'objective',
    'window',
    'burn',
    'left',
    'requests',
    'covered',
    'region',
    'reason',
    'alert',
)
_UNKNOWN = '-'
# With less of a window covered, nobody knows how much budget is left.
_WHOLE = 0.99


def cells(row: BurnRow) -> tuple[str, ...]:
    """Return the texts of one row, in the order of `TITLES`."""
    return (
        row.service,
        row.objective,
        row.window,
        _number(row.burn_rate),
        'gap' if row.covered < _WHOLE else _percent(row.budget_left),
        f'{row.requests:.0f}',
        _percent(row.covered),
        row.region,
        row.reason,
        'ALERT' if row.is_alert else '',
    )


def _number(amount: float | None) -> str:
    return _UNKNOWN if amount is None else f'{amount:.2f}'


def _percent(part: float | None) -> str:
    return _UNKNOWN if part is None else f'{part:.1%}'
