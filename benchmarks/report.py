"""Output of benchmark results as tables and JSON files."""

import json
import sys
from pathlib import Path

RESULTS_FOLDER = Path(__file__).parent / 'results'


def show(name, rows):
    """Print rows as a table and write them to a JSON file.

    Args:
        name: Name of the benchmark, heading of the table and file stem.
        rows: Non-empty list of dictionaries with the same keys.
    """
    RESULTS_FOLDER.mkdir(exist_ok=True)
    (RESULTS_FOLDER / f'{name}.json').write_text(
        json.dumps(rows, indent=1) + '\n'
    )
    names = list(rows[0])
    lines = [names, *([_cell(row[key]) for key in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    sys.stdout.write(f'\n{name}\n')
    for line in lines:
        text = '  '.join(map(str.ljust, line, widths)).rstrip()
        sys.stdout.write(f'  {text}\n')
    sys.stdout.flush()


def _cell(value):
    if isinstance(value, float):
        return f'{value:.4g}'
    return str(value)
