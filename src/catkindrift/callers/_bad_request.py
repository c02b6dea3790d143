"""Error for requests that are invalid before the core sees them."""

from typing import final

from catkindrift.serving import Problem


@final
class BadRequestError(Exception):
    """The request is invalid; respond with `problem`.

    Args:
        problem: Error response for the caller.
    """

    def __init__(self, problem: Problem) -> None:
        """Use the detail of the problem as message."""
        super().__init__(problem.detail)
        self.problem = problem
