"""Report as a single HTML page without external resources."""

import html
from collections.abc import Iterable

import pygal

from catkindrift.report._burn import WINDOWS, BurnRow
from catkindrift.report._objective import Objective
from catkindrift.report._sample import Sample
from catkindrift.report._series import compute_increases
from catkindrift.report._table import COLUMN_TITLES, format_cells

_MINUTE_MS = 60_000
_CHART_HEIGHT = 360
_LEGEND_LENGTH = 40
_STYLE = """
body { font-family: sans-serif; margin: 2rem; }
table { border-collapse: collapse; }
td, th { border: 1px solid #bbb; padding: 0.2rem 0.6rem; text-align: left; }
tr.alert { background: #fdd; }
tr.gap { color: #666; }
svg { max-width: 60rem; }
"""


def render_page(
    rows: list[BurnRow],
    samples: list[Sample],
    objectives: Iterable[Objective],
    now_ms: int,
) -> str:
    """Render the report as an HTML page with charts and a table.

    Args:
        rows: Burn of all objectives.
        samples: Samples for the chart of failures.
        objectives: Objectives, one for each service.
        now_ms: End of the windows in Unix milliseconds.
    """
    all_objectives = list(objectives)
    parts = [
        '<!doctype html><html lang="en"><head><meta charset="utf-8">',
        '<title>Error budget burn</title>',
        f'<style>{_STYLE}</style></head><body>',
        '<h1>Error budget burn</h1>',
        '<p>A burn rate of 1 spends the error budget evenly. Grey rows have '
        'gaps: there is no data for the part that is not covered.</p>',
        _burn_chart(rows, all_objectives),
        _failure_chart(samples, all_objectives, now_ms),
        _html_table(rows),
        '</body></html>',
    ]
    return '\n'.join(parts)


def _burn_chart(rows: list[BurnRow], objectives: list[Objective]) -> str:
    chart = pygal.Bar(
        title='Burn rate by window',
        js=(),
        truncate_legend=_LEGEND_LENGTH,
        disable_xml_declaration=True,
        height=_CHART_HEIGHT,
    )
    chart.x_labels = [window.name for window in WINDOWS]
    for objective in objectives:
        for kind in ('availability', 'latency'):
            rates = [
                row.burn_rate
                for row in rows
                if (row.service, row.objective) == (objective.service, kind)
            ]
            chart.add(f'{objective.service} {kind}', rates)
    return str(chart.render(is_unicode=True))


def _failure_chart(
    samples: list[Sample],
    objectives: list[Objective],
    now_ms: int,
) -> str:
    chart = pygal.XY(
        title='Failed requests in percent, by minutes before the report',
        js=(),
        truncate_legend=_LEGEND_LENGTH,
        disable_xml_declaration=True,
        height=_CHART_HEIGHT,
    )
    for objective in objectives:
        increases = compute_increases(
            samples, objective.service, objective.latency_ms
        )
        points = [
            (
                (increase.to_ms - now_ms) / _MINUTE_MS,
                100 * increase.bad / (increase.bad + increase.good),
            )
            for increase in sorted(increases, key=lambda each: each.to_ms)
            if increase.bad + increase.good
        ]
        chart.add(objective.service, points)
    return str(chart.render(is_unicode=True))


def _html_table(rows: list[BurnRow]) -> str:
    lines = [_html_row(COLUMN_TITLES, 'th', '')]
    for row in rows:
        css_class = 'gap' if row.covered < 1 else ''
        lines.append(
            _html_row(
                format_cells(row), 'td', 'alert' * row.is_alert or css_class
            )
        )
    return f'<table>{"".join(lines)}</table>'


def _html_row(texts: Iterable[str], tag: str, css_class: str) -> str:
    fields = [f'<{tag}>{text}</{tag}>' for text in _escaped(texts)]
    inner = ''.join(fields)
    return f'<tr class="{css_class}">{inner}</tr>'


def _escaped(texts: Iterable[str]) -> list[str]:
    return [html.escape(text) for text in texts]
