"""What is known against a request."""

from typing import Final, final

import attrs


@final
@attrs.frozen
class Verdict:
    """What the crashes of upstreams show about a request.

    Args:
        crash_count: Number of crashes that count.
        crashed: Names of the upstreams that have crashed.
        explained_by: Fingerprints of other requests that explain all of
            these crashes; empty if any is left unexplained.
    """

    crash_count: int
    crashed: tuple[str, ...]
    explained_by: tuple[str, ...]

    @property
    def is_suspect(self) -> bool:
        """Whether the request runs alone, and once at a time."""
        return self.crash_count > 1 or (
            self.crash_count == 1 and not self.explained_by
        )

    @property
    def is_quarantined(self) -> bool:
        """Whether the request must not run."""
        return self.crash_count > 1 and not self.explained_by

    @property
    def text(self) -> str:
        """The verdict and its reasons for logs."""
        if not self.crash_count:
            return 'no suspect'
        kind = 'suspect' if self.is_suspect else 'no suspect'
        if self.is_quarantined:
            kind = 'quarantined'
        crashed = ', '.join(self.crashed)
        reason = f'{self.crash_count} crashes count of those of {crashed}'
        if self.explained_by:
            others = ', '.join(self.explained_by)
            reason = f'{reason}; explained by {others}'
        return f'{kind}: {reason}'


NO_BLAME: Final = Verdict(0, (), ())
