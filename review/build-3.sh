#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. They are Python files that need the
# standard library only, so that building them means compiling each once.
# The entry VMs come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/case.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_bytes(), name, 'exec')
        print(f'built {name}')
PY
