"""Errors of the package; each message names what to do about it."""

from typing import final

__all__ = [
    'AnswerTooLargeError',
    'AuthenticationError',
    'BrokenAnswerError',
    'CannotListenError',
    'CatkindriftError',
    'ConflictError',
    'ForbiddenError',
    'HistoryGoneError',
    'InvalidInputError',
    'NotFoundError',
    'PlatformAmbiguousError',
    'PlatformConflictError',
    'PlatformUnavailableError',
    'SettingError',
    'SettingsFileError',
    'ZoneWatchError',
]


class CatkindriftError(Exception):
    """Base of all errors that the package raises on purpose."""


@final
class SettingError(CatkindriftError):
    """One setting has a wrong value.

    Args:
        key: Dotted path of the setting.
        found: The value in the file, as text.
        expected: What the setting accepts.
    """

    def __init__(self, key: str, found: str, expected: str) -> None:
        """Keep the parts, so that tools can print them apart."""
        super().__init__(f'{key}: found {found}, expected {expected}')
        self.key = key
        self.found = found
        self.expected = expected


@final
class SettingsFileError(CatkindriftError):
    """A settings file cannot be read, or is not TOML."""


class CannotListenError(CatkindriftError, OSError):
    """An address is in use or cannot be bound.

    Args:
        host: IP number.
        port: Port.
        failure: What the operating system said.
    """

    def __init__(self, host: str, port: int, failure: OSError) -> None:
        """Name the address and the remedy."""
        super().__init__(
            f'cannot listen on {host}:{port} ({failure}); stop the other'
            ' process or change the address',
        )


class NotFoundError(CatkindriftError):
    """The named object does not exist."""


class ConflictError(CatkindriftError):
    """The request was made from a state that has changed since."""


class InvalidInputError(CatkindriftError):
    """A request body or parameter is malformed."""


class AuthenticationError(CatkindriftError):
    """The caller of the operator API sent no valid token."""


class ForbiddenError(CatkindriftError):
    """The token is valid, but its role does not allow the request."""


class PlatformUnavailableError(CatkindriftError):
    """The platform did not take the call; nothing was written."""


class PlatformAmbiguousError(CatkindriftError):
    """A write was sent and its answer was lost; it may have taken effect."""


class PlatformConflictError(CatkindriftError):
    """A conditional write found another version than the expected one."""


class HistoryGoneError(CatkindriftError):
    """The store no longer knows what changed; list the objects again."""


class ZoneWatchError(CatkindriftError):
    """An entry VM cannot tell what changed; ask the store."""


class AnswerTooLargeError(CatkindriftError):
    """An answer is larger than any should be; ask for less."""


class BrokenAnswerError(CatkindriftError):
    """The rest of an answer will not come; end the caller's connection."""
