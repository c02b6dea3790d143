"""Runs an entry VM with ``python -m catkindrift.gateway``."""

import sys

from catkindrift.gateway._run import main

if __name__ == '__main__':
    sys.exit(main())
