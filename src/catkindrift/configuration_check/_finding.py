"""What a check finds in a configuration."""

import enum
from typing import final

import attrs


@final
class Severity(enum.StrEnum):
    """What a finding means for the operator.

    With an `ERROR`, entry VMs refuse the configuration. A `WARNING` is in
    force as written, though hardly as meant.
    """

    ERROR = 'error'
    WARNING = 'warning'


@final
@attrs.frozen
class Finding:
    """A mistake or a contradiction.

    Args:
        severity: Whether entry VMs refuse the configuration.
        place: Kind and name of the entry.
        message: What is wrong.
        remedy: What the operator can do.
    """

    severity: Severity
    place: str
    message: str
    remedy: str

    @property
    def text(self) -> str:
        """The finding as one line."""
        return f'{self.severity}: {self.place}: {self.message}; {self.remedy}'


def warning(place: str, message: str, remedy: str) -> Finding:
    """Return a finding that does not make the configuration invalid."""
    return Finding(Severity.WARNING, place, message, remedy)
