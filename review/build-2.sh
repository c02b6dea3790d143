#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on: Python of the standard library
# only, so it just checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/*.py [6-9]/*.py 10/*.py <<'CHECK'
import os
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
for path in filter(os.path.exists, sys.argv[1:]):
    with open(path, encoding='utf-8') as source:
        compile(source.read(), path, 'exec')
CHECK
