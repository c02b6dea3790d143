"""Which headers of a message are forwarded."""

from collections import Counter
from typing import Final, final

import attrs

from catkindrift.http1._headers import Headers, connection_options

# Headers of RFC 9110, section 7.6.1, older ones that senders still use, and
# Expect, which the server handles itself.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# Set by whoever writes the body.
_FRAMING = frozenset((b'content-length', b'transfer-encoding'))
# Headers for all recipients, from RFC 9110, 9111, 6265, 6266, 6454 and 7239.
_END_TO_END: Final = frozenset(
    (
        b'accept',
        b'accept-charset',
        b'accept-encoding',
        b'accept-language',
        b'accept-ranges',
        b'age',
        b'allow',
        b'authentication-info',
        b'authorization',
        b'cache-control',
        b'content-disposition',
        b'content-encoding',
        b'content-language',
        b'content-length',
        b'content-location',
        b'content-range',
        b'content-type',
        b'cookie',
        b'date',
        b'etag',
        b'expires',
        b'forwarded',
        b'from',
        b'host',
        b'if-match',
        b'if-modified-since',
        b'if-none-match',
        b'if-range',
        b'if-unmodified-since',
        b'last-modified',
        b'location',
        b'max-forwards',
        b'origin',
        b'pragma',
        b'range',
        b'referer',
        b'retry-after',
        b'server',
        b'set-cookie',
        b'user-agent',
        b'vary',
        b'via',
        b'www-authenticate',
    )
)


@final
@attrs.frozen
class HeaderRules:
    """Tells headers for all recipients from those of one connection.

    A sender may name headers in Connection that end with the connection, but
    none that are meant for all recipients (RFC 9110, section 7.6.1). Removing
    one of those would change the message: its framing, its target or its
    identity. An option that names one is ignored; the message is forwarded as
    without it.

    Args:
        end_to_end: Names, in lower case, of an interface's own headers for all
            recipients.
        single: Names of those that a request has once at most.
        reserved_prefix: Begins the names, in lower case, of headers that only
            entry VMs set, for each other; empty where all are believed.
    """

    _end_to_end: frozenset[bytes] = frozenset()
    _single: frozenset[bytes] = frozenset()
    _reserved_prefix: bytes = b''

    def ignored_options(self, headers: Headers) -> frozenset[bytes]:
        """Return the connection options that name headers for all recipients.

        Args:
            headers: Names and values as received.

        Returns:
            The options in lower case.
        """
        return frozenset(
            filter(self._is_end_to_end, connection_options(headers))
        )

    def repeated_header(self, headers: Headers) -> bytes:
        """Return a header that a request has twice, but may have once.

        Of two lines, two recipients may read different ones.

        Args:
            headers: Names and values as received.

        Returns:
            The name in lower case, or empty bytes if there is none.
        """
        names = Counter(name.lower() for name, _ in headers)
        for name in (b'host', *sorted(self._single)):
            if names[name] > 1:
                return name
        return b''

    def without_reserved(self, headers: Headers) -> Headers:
        """Return the headers that a caller or an upstream may state.

        Args:
            headers: Names and values as received.
        """
        prefix = self._reserved_prefix
        if not prefix:
            return headers
        return [
            each for each in headers if not each[0].lower().startswith(prefix)
        ]

    def forwarded(self, headers: Headers) -> Headers:
        """Return the headers that are forwarded.

        Leaves out the headers of the connection: hop-by-hop ones, those that
        Connection names, and the framing, which the next writer sets.

        Args:
            headers: Names and values as received.
        """
        named = {
            option
            for option in connection_options(headers)
            if not self._is_end_to_end(option)
        }
        dropped = _HOP_BY_HOP | _FRAMING | named
        return [each for each in headers if each[0].lower() not in dropped]

    def _is_end_to_end(self, name: bytes) -> bool:
        return name in _END_TO_END or name in self._end_to_end
