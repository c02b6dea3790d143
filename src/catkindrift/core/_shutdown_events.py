"""Events of a shutdown."""

from typing import final

import attrs


@final
@attrs.frozen
class StopRequested:
    """A graceful stop was requested."""


@final
@attrs.frozen
class ShutdownPhaseBegan:
    """A phase of a graceful stop begins.

    Args:
        phase: Name of the phase.
        in_progress: Number of requests without a complete response.
    """

    phase: str
    in_progress: int


@final
@attrs.frozen
class CoreClosed:
    """The process shuts down now; all further requests are refused."""
