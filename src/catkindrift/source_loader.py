"""Runs an entry VM from the sources in this folder.

``python3 -S src/catkindrift/source_loader.py`` loads the package from the
sources beside this file, wherever else a copy of it is installed. Compiled code
of the build is used where it is of the same sources; all else is compiled
anew. So a build that is old, half done or of another Python can make a start
slow, but never runs other code.
"""

import contextlib
import io
import marshal
import os
import sys
from collections.abc import Iterator, Sequence
from importlib.machinery import ModuleSpec, SourceFileLoader
from importlib.util import (
    MAGIC_NUMBER,
    source_hash,
    spec_from_file_location,
)
from types import CodeType, ModuleType
from typing import Final, final

__all__ = [
    'BYTE_ORDER',
    'HEAD_BYTES',
    'PACKAGE',
    'CompiledSources',
    'SourceFinder',
    'digest_of',
    'read_sources',
]

PACKAGE: Final = 'catkindrift'
# The file with compiled code begins with the number of the byte code's format
# and the offset of its last part, the index.
BYTE_ORDER: Final = 'little'
HEAD_BYTES: Final = 8
# Digest of the source; offset and size of its code.
_Place = tuple[bytes, int, int]
_SUFFIX = '.py'
# Below the root of the repository; the build writes those in `target`.
_COMPILED = 'target/compiled'
_INSTALLED = 'target/deps/requirements.txt'
_REQUIREMENTS = 'requirements/gateway.txt'
_REMEDY = 'run the build command of deploy/system.toml'


@final
class CompiledSources:
    """Reads the code that a build has compiled.

    Args:
        path: File that `compile_sources` has written; it may be missing.
    """

    def __init__(self, path: str) -> None:
        """Read the index; a file that is not usable counts as empty."""
        self._index: dict[str, _Place] = {}
        self._opened: io.FileIO | None = None
        with contextlib.suppress(OSError, EOFError, TypeError, ValueError):
            self._opened = io.FileIO(path)
            self._index = _read_index(self._opened)

    def find(self, path: str, source_digest: bytes) -> CodeType | None:
        """Return the code of a source file; None if it is of another source.

        Args:
            path: Path in the folder of the package.
            source_digest: Digest of the source.
        """
        known, offset, size = self._index.get(path, (b'', 0, 0))
        if known != source_digest or self._opened is None:
            return None
        self._opened.seek(offset)
        encoded = self._opened.read(size)
        if len(encoded) != size:
            return None
        code: CodeType = marshal.loads(encoded)
        return code

    def close(self) -> None:
        """Close the file; no code is found from now on."""
        self._index = {}
        if self._opened:
            self._opened.close()


@final
class SourceFinder:
    """Finds the modules of this package and their code.

    Args:
        folder: Folder of the package.
        compiled: Code of a build.
    """

    def __init__(self, folder: str, compiled: CompiledSources) -> None:
        """Read all sources."""
        self._folder = folder
        self._compiled = compiled
        self._digests = {
            path: source_hash(source) for path, source in read_sources(folder)
        }
        self._stale_count = 0

    @property
    def digest(self) -> str:
        """Return the digest of all sources."""
        return digest_of(self._digests)

    @property
    def stale_count(self) -> int:
        """Return how many modules were compiled, for want of a build."""
        return self._stale_count

    def find_spec(
        self,
        name: str,
        path: Sequence[str] | None = None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return where a module of the package is; None for all others.

        Args:
            name: Full name of the module.
            path: Not used.
            target: Not used.
        """
        package, *parts = name.split('.')
        if package != PACKAGE:
            return None
        initial = '/'.join((*parts, '__init__.py'))
        module = f'{"/".join(parts)}{_SUFFIX}'
        found = initial if initial in self._digests else module
        if found not in self._digests:
            return None
        origin = f'{self._folder}/{found}'
        return spec_from_file_location(
            name,
            origin,
            loader=_ModuleLoader(name, origin, self),
            submodule_search_locations=(
                [os.path.dirname(origin)] if found == initial else None
            ),
        )

    def find_code(self, loader: SourceFileLoader) -> CodeType:
        """Return the code of a module.

        Args:
            loader: Loader of the module.

        Raises:
            ImportError: Its source has changed since this process started.
        """
        path = loader.path.removeprefix(f'{self._folder}/')
        source = _read_file(loader.path)
        digest = self._digests[path]
        if source_hash(source) != digest:
            raise ImportError(
                f'{path} has changed since this process started; restart it'
            )
        code = self._compiled.find(path, digest)
        if code:
            return code
        self._stale_count += 1
        return loader.source_to_code(source, loader.path)

    def release(self) -> None:
        """Close the code of the build; what is loaded later is compiled."""
        self._compiled.close()


class _ModuleLoader(SourceFileLoader):
    def __init__(self, name: str, path: str, finder: SourceFinder) -> None:
        super().__init__(name, path)
        self.finder = finder

    def get_code(self, fullname: str) -> CodeType:
        return self.finder.find_code(self)


def read_sources(folder: str) -> Iterator[tuple[str, bytes]]:
    """Yield path and contents of each source file of a package.

    Args:
        folder: Folder of the package; the paths are relative to it, and in
            the same order wherever it is.
    """
    for path in sorted(_source_paths(folder, '')):
        yield path, _read_file(f'{folder}/{path}')


def digest_of(digests: dict[str, bytes]) -> str:
    """Return a digest of sources, of 16 hexadecimal digits.

    Args:
        digests: Digests of the sources by path, in the order of the paths.
    """
    parts = [
        b'%b\0%b' % (path.encode(), each) for path, each in digests.items()
    ]
    return source_hash(b''.join(parts)).hex()


def _source_paths(folder: str, prefix: str) -> Iterator[str]:
    with os.scandir(folder) as entries:
        for entry in entries:
            path = f'{prefix}{entry.name}'
            if path.endswith(_SUFFIX):
                yield path
            elif entry.is_dir():
                yield from _source_paths(entry.path, f'{path}/')


def _read_file(path: str) -> bytes:
    with open(path, 'rb', buffering=0) as opened:
        return opened.readall()


def _read_or_empty(path: str) -> bytes:
    try:
        return _read_file(path)
    except OSError:
        return b''


def _read_index(opened: io.FileIO) -> dict[str, _Place]:
    head = opened.read(HEAD_BYTES)
    if not head.startswith(MAGIC_NUMBER):
        raise ValueError('the code is of another Python')
    size = int.from_bytes(head[len(MAGIC_NUMBER) :], BYTE_ORDER)
    opened.seek(size)
    index: dict[str, _Place] = marshal.loads(opened.read())
    return index


def _warn_of_old_libraries(root: str) -> None:
    required = _read_or_empty(f'{root}/{_REQUIREMENTS}')
    if required != _read_or_empty(f'{root}/{_INSTALLED}'):
        sys.stderr.write(
            f'the libraries in target/deps are not those of {_REQUIREMENTS}; '
            f'{_REMEDY}\n'
        )


def _main() -> int:
    """Run an entry VM until it ends; return the exit code."""
    folder = os.path.dirname(os.path.abspath(__file__))
    # Its modules have names of the standard library.
    sys.path = list(filter(lambda each: each != folder, sys.path))
    root = os.path.dirname(os.path.dirname(folder))
    _warn_of_old_libraries(root)
    finder = SourceFinder(folder, CompiledSources(f'{root}/{_COMPILED}'))
    sys.meta_path.insert(0, finder)
    from catkindrift import entry_vm  # noqa: PLC0415

    try:
        return entry_vm.main(finder.release)
    except ImportError:
        sys.stderr.write(f'a library cannot be loaded; {_REMEDY}\n')
        raise


if __name__ == '__main__':
    sys.exit(_main())
