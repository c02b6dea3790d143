"""Weighted rotation over the services of a route."""

from typing import final

import attrs

from catkindrift.steering._route import WeightedService


@final
@attrs.define(eq=False, repr=False)
class WeightedRotation:
    """Smooth weighted round-robin over services.

    Args:
        targets: Services with their weights.
    """

    targets: tuple[WeightedService, ...]
    _credit: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the credit of all services to zero."""
        self._credit = [float(0) for _ in self.targets]

    def next_service(self) -> str:
        """Return the service of the next request."""
        total = float(0)
        for index, target in enumerate(self.targets):
            self._credit[index] += target.weight
            total += target.weight
        chosen = max(range(len(self.targets)), key=self._credit.__getitem__)
        self._credit[chosen] -= total
        return self.targets[chosen].service
