"""Exceptions of the package; each message states the remedy."""

from typing import final

__all__ = [
    'AnswerTooLargeError',
    'AuthenticationError',
    'BrokenAnswerError',
    'CannotListenError',
    'CatkindriftError',
    'ConfigurationEntryError',
    'ConflictError',
    'ForbiddenError',
    'HistoryGoneError',
    'InvalidInputError',
    'MalformedLimitError',
    'NotFoundError',
    'PlatformAmbiguousError',
    'PlatformConflictError',
    'PlatformSilentError',
    'PlatformUnavailableError',
    'SettingError',
    'SettingsFileError',
    'ZoneHistoryGoneError',
    'ZoneWatchError',
]


class CatkindriftError(Exception):
    """Base class of all exceptions that the package defines."""


@final
class SettingError(CatkindriftError):
    """A setting is missing, unknown or has an invalid value.

    Args:
        key: Dotted path of the setting.
        found: Description of the value in the file.
        expected: Description of the accepted values.
    """

    def __init__(self, key: str, found: str, expected: str) -> None:
        """Store the parts as attributes besides the message."""
        super().__init__(f'{key}: found {found}, expected {expected}')
        self.key = key
        self.found = found
        self.expected = expected


@final
class SettingsFileError(CatkindriftError):
    """A settings file cannot be read or is not valid TOML."""


class CannotListenError(CatkindriftError, OSError):
    """A listening address is in use or cannot be bound.

    Args:
        host: IP address.
        port: TCP port.
        failure: Error that the operating system returned.
    """

    def __init__(self, host: str, port: int, failure: OSError) -> None:
        """Build the message from the address and the cause."""
        super().__init__(
            f'cannot listen on {host}:{port} ({failure}); stop the other'
            ' process or change the address',
        )


class NotFoundError(CatkindriftError):
    """The named object does not exist."""


class ConflictError(CatkindriftError):
    """The state that the request is based on has changed."""


class InvalidInputError(CatkindriftError):
    """A request body or parameter is malformed."""


class AuthenticationError(CatkindriftError):
    """A request to the operator API has no valid token."""


class ForbiddenError(CatkindriftError):
    """The role of the token does not permit the request."""


class PlatformUnavailableError(CatkindriftError):
    """The platform did not accept a call; no write took effect."""


@final
class PlatformSilentError(PlatformUnavailableError):
    """A read got no response in time; repeat it on a new connection."""


class PlatformAmbiguousError(CatkindriftError):
    """A write got no response, so it may or may not have taken effect."""


class PlatformConflictError(CatkindriftError):
    """A conditional write failed because the version has changed."""


class HistoryGoneError(CatkindriftError):
    """The store dropped the requested history; list the objects again."""


class ZoneWatchError(CatkindriftError):
    """A zone watch on another entry VM failed; watch the store instead."""


@final
class ZoneHistoryGoneError(ZoneWatchError):
    """The other entry VM lacks the requested changes; list the objects."""


class AnswerTooLargeError(CatkindriftError):
    """A response exceeds the size limit; request less data."""


class BrokenAnswerError(CatkindriftError):
    """A response broke off; the caller's connection must be closed."""


@final
class ConfigurationEntryError(CatkindriftError, ValueError):
    """An entry of an operator's configuration is invalid.

    Args:
        place: Kind and name of the entry.
        mistake: What is wrong with it.
        remedy: What the operator can do.
    """

    def __init__(self, place: str, mistake: str, remedy: str) -> None:
        """Store the parts as attributes besides the message."""
        super().__init__(f'{place}: {mistake}; {remedy}')
        self.place = place
        self.mistake = mistake
        self.remedy = remedy


@final
class MalformedLimitError(CatkindriftError):
    """An upstream names a limit that is no number of requests.

    Args:
        stated: What it names.
    """

    def __init__(self, stated: bytes) -> None:
        """Name the value and the remedy."""
        super().__init__(
            f'the limit {stated!r} is passed over; '
            'name a finite decimal number of requests per second',
        )
