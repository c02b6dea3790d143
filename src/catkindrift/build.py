"""Build that this process runs."""

import functools
import os
import sys

import attrs

__all__ = ['Build', 'running_build']

_PACKAGE = 'catkindrift'


@attrs.frozen
class Build:
    """Sources that this process runs.

    Args:
        digest: Digest of the sources, the same wherever they are installed;
            16 hexadecimal digits.
        stale_count: Modules that this process had to compile since their
            compiled code is missing or of other sources.
    """

    digest: str
    stale_count: int


@functools.cache
def running_build() -> Build:
    """Return the build that this process runs, as of the first call."""
    loader = getattr(sys.modules[_PACKAGE].__spec__, 'loader', None)
    finder = getattr(loader, 'finder', None)
    if finder is not None:
        return Build(finder.digest, finder.stale_count)
    # Of no use where the process was started by it.
    from catkindrift.source_loader import (  # noqa: PLC0415
        CompiledSources,
        SourceFinder,
    )

    folder = os.path.dirname(os.path.abspath(__file__))
    return Build(SourceFinder(folder, CompiledSources('')).digest, 0)
