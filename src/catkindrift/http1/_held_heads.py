"""Memory that heads of requests take, summed over all connections."""

from typing import Final, Protocol, final

import attrs

# About 30 heads of 16 KB, if they consist of the shortest headers, or
# thousands of usual ones at a time.
DEFAULT_MAX_BYTES: Final = 16_777_216


class HeadHolder(Protocol):
    """Connection on which a head may be arriving."""

    def refuse_partial_head(self) -> None:
        """Refuse the head that is arriving, and drop it."""


@final
@attrs.define(eq=False, repr=False)
class HeldHeads:
    """Refuses the largest heads that are arriving if all take too much.

    Heads of requests without a response count too.

    Args:
        max_bytes: Memory that heads may take; shared by all servers that use
            this instance.
    """

    _max_bytes: int = DEFAULT_MAX_BYTES
    _total_bytes: int = attrs.field(init=False, default=0)
    _partial_bytes: dict[HeadHolder, int] = attrs.field(
        init=False, factory=dict
    )

    @property
    def is_full(self) -> bool:
        """Whether no further request may begin."""
        return self._total_bytes > self._max_bytes

    def set_partial(self, holder: HeadHolder, size: int) -> None:
        """Set the memory that the head arriving on a connection takes.

        Args:
            holder: The connection.
            size: Bytes; 0 if no head is arriving.
        """
        self._total_bytes += size - self._partial_bytes.pop(holder, 0)
        if size:
            self._partial_bytes[holder] = size
        while self.is_full and self._partial_bytes:
            self._refuse_largest()

    def add_request(self, size: int) -> None:
        """Add the head of a request whose response is to come."""
        self._total_bytes += size

    def remove_request(self, size: int) -> None:
        """Remove the head of a request that has its response."""
        self._total_bytes -= size

    def _refuse_largest(self) -> None:
        largest = max(self._partial_bytes, key=self._partial_bytes.__getitem__)
        self._total_bytes -= self._partial_bytes.pop(largest)
        largest.refuse_partial_head()
