"""Connection options that are ignored."""

import logging
from typing import final

import attrs

from catkindrift.callers._line_limit import line_limit
from catkindrift.callers._upstream_headers import HEADER_RULES
from catkindrift.clock import Clock
from catkindrift.http1 import CallerRequest
from catkindrift.limits import TokenBucket
from catkindrift.serving import Metrics

_LOG = logging.getLogger(__name__)


@final
@attrs.define(eq=False, repr=False)
class IgnoredOptions:
    """Counts and logs options of Connection that name headers for all.

    Requests are forwarded as without them.

    Args:
        clock: Source of time.
        metrics: Counts the options.
    """

    _clock: Clock
    _metrics: Metrics
    _lines: TokenBucket = attrs.field(init=False)

    def record(self, message: CallerRequest) -> None:
        """Count and log the options of a request, if it has any.

        Args:
            message: Head of the request.
        """
        options = HEADER_RULES.ignored_options(message.headers)
        for option in options:
            self._metrics.ignored_options.labels(option.decode()).inc()
        if options and self._lines.try_take():
            _LOG.warning(
                'ignored options of Connection: %s caller=%s',
                b', '.join(sorted(options)).decode('latin-1'),
                message.caller,
            )

    def __attrs_post_init__(self) -> None:
        """Create the limit on the rate of lines."""
        self._lines = line_limit(self._clock)
