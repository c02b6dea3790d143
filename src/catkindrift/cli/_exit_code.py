"""Exit codes of the command line."""

import enum
from typing import final


@final
class ExitCode(enum.IntEnum):
    """What the exit status of a command means."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
