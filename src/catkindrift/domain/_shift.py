"""Shifts of a service's traffic from one region to another."""

from typing import final

import attrs

_PERCENT_MAX = 100


@final
@attrs.frozen
class CapShare:
    """Part of a shift's cap that one entry VM may use.

    Args:
        vm: Entry VM that holds the share.
        requests_per_second: Requests that it may move in any window of one
            second.
        retiring: Whether the holder must stop using the share. The share
            still counts against the cap, because the holder may not have
            seen that yet.
    """

    vm: str
    requests_per_second: int = attrs.field(validator=attrs.validators.ge(0))
    retiring: bool = False


@final
@attrs.frozen
class Shift:
    """A rate-limited move of a service's traffic between two regions.

    Args:
        name: Name of the plan that created the shift.
        service: Service whose traffic moves.
        source_region: Region that the traffic leaves.
        target_region: Region that receives the traffic.
        percent: Percentage of the source region's requests to move.
        cap_per_second: Requests that all entry VMs together may move in any
            window of one second.
        shares: Division of the cap among entry VMs; the sum of the shares
            never exceeds the cap.
    """

    name: str
    service: str
    source_region: str
    target_region: str
    percent: int = attrs.field(
        validator=[attrs.validators.ge(0), attrs.validators.le(_PERCENT_MAX)],
    )
    cap_per_second: int = attrs.field(validator=attrs.validators.ge(0))
    shares: tuple[CapShare, ...] = attrs.field(default=())

    def share_of(self, vm: str) -> int:
        """Return the requests per second that `vm` may move.

        A retiring share counts as zero.

        Args:
            vm: Name of an entry VM.
        """
        return sum(
            share.requests_per_second
            for share in self.shares
            if share.vm == vm and not share.retiring
        )

    @shares.validator
    def _check_shares(
        self,
        _attribute: 'attrs.Attribute[tuple[CapShare, ...]]',
        shares: tuple[CapShare, ...],
    ) -> None:
        granted = sum(share.requests_per_second for share in shares)
        if granted > self.cap_per_second:
            raise ValueError(
                f'shares sum to {granted}, above the cap of '
                f'{self.cap_per_second}; lower a share first',
            )
