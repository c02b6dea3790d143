"""Report as a text table."""

from catkindrift.report._burn import BurnRow

COLUMN_TITLES = (
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
# Below this fraction of coverage the remaining budget is shown as a gap,
# because it cannot be known.
_MIN_COVERAGE = 0.99


def format_cells(row: BurnRow) -> tuple[str, ...]:
    """Format a row as texts in the order of `COLUMN_TITLES`."""
    return (
        row.service,
        row.objective,
        row.window,
        _format_number(row.burn_rate),
        'gap'
        if row.covered < _MIN_COVERAGE
        else _format_percent(row.budget_left),
        f'{row.requests:.0f}',
        _format_percent(row.covered),
        row.region,
        row.reason,
        'ALERT' if row.is_alert else '',
    )


def _format_number(amount: float | None) -> str:
    return _UNKNOWN if amount is None else f'{amount:.2f}'


def _format_percent(part: float | None) -> str:
    return _UNKNOWN if part is None else f'{part:.1%}'
