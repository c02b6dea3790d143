"""A request that is refused before any decision."""

from typing import final

from catkindrift.serving import Problem


@final
class BadRequestError(Exception):
    """A request that is refused before any decision.

    Args:
        problem: What to answer.
    """

    def __init__(self, problem: Problem) -> None:
        """Keep the answer."""
        super().__init__(problem.detail)
        self.problem = problem
