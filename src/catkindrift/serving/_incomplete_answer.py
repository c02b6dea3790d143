"""An answer that broke off."""


class IncompleteAnswerError(Exception):
    """The upstream broke off; makes the server drop the connection."""
