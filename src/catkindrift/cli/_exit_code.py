"""Exit codes of the command line."""

import enum
from typing import final


@final
class ExitCode(enum.IntEnum):
    """Exit status of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
