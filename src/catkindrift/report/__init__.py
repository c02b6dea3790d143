"""Error budget burn of services, computed from sampled metrics."""

from catkindrift.report._burn import BurnRow, compute_burn_rows
from catkindrift.report._objective import Objective, Objectives
from catkindrift.report._page import render_page
from catkindrift.report._sample import Sample, ServiceCount
from catkindrift.report._scrape import parse_metrics
from catkindrift.report._store import append_samples, load_samples
from catkindrift.report._table import COLUMN_TITLES, format_cells

__all__ = [
    'COLUMN_TITLES',
    'BurnRow',
    'Objective',
    'Objectives',
    'Sample',
    'ServiceCount',
    'append_samples',
    'compute_burn_rows',
    'format_cells',
    'load_samples',
    'parse_metrics',
    'render_page',
]
