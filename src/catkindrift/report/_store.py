"""Storage of samples in a file, one JSON document per line."""

from collections.abc import Iterable
from pathlib import Path

from catkindrift.domain import decode_json, encode_json
from catkindrift.report._sample import Sample


def append_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Append samples to a file, which is created if necessary."""
    with path.open('a', encoding='utf-8') as output:
        output.writelines(f'{encode_json(sample)}\n' for sample in samples)


def load_samples(path: Path) -> list[Sample]:
    """Read the samples of a file.

    Returns:
        All samples in the order of the file; empty if it doesn't exist.

    Raises:
        InvalidInputError: A line is not a valid sample.
    """
    if not path.exists():
        return []
    lines = path.read_text(encoding='utf-8').splitlines()
    return [decode_json(line, Sample) for line in lines if line]
