"""Samples in a file, one JSON document a line."""

from collections.abc import Iterable
from pathlib import Path

from catkindrift.domain import decode_json, encode_json
from catkindrift.report._sample import Sample


def append_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Add samples to a file."""
    with path.open('a', encoding='utf-8') as lines:
        lines.writelines(f'{encode_json(sample)}\n' for sample in samples)


def load_samples(path: Path) -> list[Sample]:
    """Return the samples of a file, none if there is no file.

    Raises:
        InvalidInputError: A line is not a sample.
    """
    if not path.exists():
        return []
    lines = path.read_text(encoding='utf-8').splitlines()
    return [decode_json(line, Sample) for line in lines if line]
