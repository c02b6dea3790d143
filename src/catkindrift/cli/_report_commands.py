"""Command that reports on service-level objectives."""

import argparse
import time
from pathlib import Path

import urllib3

from catkindrift.cli._client import UnreachableError
from catkindrift.cli._output import print_document, write_line
from catkindrift.domain import unstructure
from catkindrift.report import (
    COLUMN_TITLES,
    BurnRow,
    Objectives,
    Sample,
    append_samples,
    compute_burn_rows,
    format_cells,
    load_samples,
    parse_metrics,
    render_page,
)
from catkindrift.strict_settings import load_settings

_MILLISECONDS_PER_SECOND = 1000
_TIMEOUT_SECONDS = 10.0


def run_report(args: argparse.Namespace) -> None:
    """Collect samples and, for `report burn`, print the burn."""
    samples = load_samples(Path(args.samples)) if args.samples else []
    for _ in range(args.rounds):
        collected = _collect_samples(args.metrics_url, args.ca_file)
        samples.extend(collected)
        if args.samples:
            append_samples(Path(args.samples), collected)
        time.sleep(args.interval if args.rounds > 1 else 0)
    if args.action == 'burn':
        _print_burn(args, samples)


def _collect_samples(urls: list[str], ca_file: str) -> list[Sample]:
    http = urllib3.PoolManager(
        retries=False,
        timeout=_TIMEOUT_SECONDS,
        ca_certs=ca_file or None,
    )
    samples: list[Sample] = []
    for url in urls:
        try:
            response = http.request('GET', f'{url.rstrip("/")}/metrics')
        except urllib3.exceptions.HTTPError as broken:
            raise UnreachableError(
                f'no metrics from {url}: {broken}; check --metrics-url',
            ) from broken
        wall_ms = round(time.time() * _MILLISECONDS_PER_SECOND)
        samples.append(parse_metrics(response.data.decode(), wall_ms))
    return samples


def _table_row(row: BurnRow) -> dict[str, str]:
    return dict(zip(COLUMN_TITLES, format_cells(row), strict=True))


def _print_burn(args: argparse.Namespace, samples: list[Sample]) -> None:
    objectives = load_settings(Path(args.objectives), Objectives).objectives
    now_ms = max((each.wall_ms for each in samples), default=0)
    rows = compute_burn_rows(samples, objectives, now_ms)
    if args.html:
        page = render_page(rows, samples, objectives, now_ms)
        Path(args.html).write_text(page, encoding='utf-8')
    if args.json:
        print_document([unstructure(row) for row in rows], as_json=True)
    else:
        print_document([_table_row(row) for row in rows], as_json=False)
        write_line('covered below 100%: gaps without data')
