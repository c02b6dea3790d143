"""Compiles the sources of this package for `source_loader`.

Run in ``src`` with ``python3 -B -m catkindrift.compile_sources FILE``.
"""

import marshal
import os
import sys
from importlib.machinery import SourceFileLoader
from importlib.util import MAGIC_NUMBER, source_hash

from catkindrift.source_loader import (
    BYTE_ORDER,
    HEAD_BYTES,
    PACKAGE,
    read_sources,
)

__all__ = ['compile_sources']

_OFFSET_BYTES = HEAD_BYTES - len(MAGIC_NUMBER)


def compile_sources(folder: str, target: str) -> None:
    """Write the compiled code of a package, all of it or nothing.

    Args:
        folder: Folder of the package.
        target: File to write.

    Raises:
        SyntaxError: A source file is not valid.
        OSError: A file can't be read or written.
    """
    index: dict[str, tuple[bytes, int, int]] = {}
    partial = f'{target}.partial'
    with open(partial, 'wb') as written:
        written.seek(HEAD_BYTES)
        for path, source in read_sources(folder):
            code = _compiled(path, source)
            index[path] = source_hash(source), written.tell(), len(code)
            written.write(code)
        offset = written.tell().to_bytes(_OFFSET_BYTES, BYTE_ORDER)
        marshal.dump(index, written)
        written.seek(0)
        written.write(MAGIC_NUMBER + offset)
    os.replace(partial, target)


def _compiled(path: str, source: bytes) -> bytes:
    # Tracebacks name the file in the repository, wherever that is.
    loader = SourceFileLoader(path, f'src/{PACKAGE}/{path}')
    return marshal.dumps(loader.source_to_code(source, loader.path))


if __name__ == '__main__':
    package_folder = os.path.dirname(os.path.abspath(__file__))
    compile_sources(package_folder, sys.argv[1])
