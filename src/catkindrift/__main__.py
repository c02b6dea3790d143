"""Entry point for ``python -m catkindrift``."""

import sys

from catkindrift.cli import main

if __name__ == '__main__':
    sys.exit(main())
