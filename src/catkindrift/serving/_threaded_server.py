"""Threaded HTTP server for the operator interface and for stand-ins."""

from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, final

import attrs
from absl import logging
from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from catkindrift.entry_settings import TlsSettings
from catkindrift.errors import CannotListenError
from catkindrift.settings import Endpoint

_IDLE_TIMEOUT_SECONDS = 30
_ACCEPT_QUEUE_SIZE = 128
_STOP_TIMEOUT_SECONDS = 2
# How long the server may take to notice that it has to stop.
_POLL_SECONDS = 0.1


@final
class _ClosingGateway(wsgi.Gateway_10):
    """Closes the connection after a response with `Connection: close`.

    Otherwise cheroot would first read the rest of a refused upload into
    memory.
    """

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: Any = None,
    ) -> Any:
        """Close the connection if the application asks for it."""
        if ('Connection', 'close') in headers:
            self.req.close_connection = True
        return super().start_response(status, headers, exc_info)


@final
@attrs.define(eq=False, repr=False)
class ThreadedServer:
    """Serves a WSGI application on one address.

    Args:
        endpoint: Address to listen on; port 0 selects a free port.
        application: The WSGI application.
        threads: Number of requests that are served concurrently.
        max_header_bytes: Size limit of a request head.
        tls: Certificate and key; TLS is off if they are empty.
    """

    _endpoint: Endpoint
    _application: Any
    _threads: int
    _max_header_bytes: int
    _tls: TlsSettings
    _server: Any = attrs.field(init=False)
    _executor: ThreadPoolExecutor = attrs.field(init=False)
    _serve_future: 'Future[None] | None' = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        """Create the server without listening yet."""
        self._server = wsgi.Server(
            (self._endpoint.host, self._endpoint.port),
            self._application,
            numthreads=self._threads,
            max=self._threads,
            request_queue_size=_ACCEPT_QUEUE_SIZE,
            timeout=_IDLE_TIMEOUT_SECONDS,
            shutdown_timeout=_STOP_TIMEOUT_SECONDS,
        )
        self._server.gateway = _ClosingGateway
        self._server.max_request_header_size = self._max_header_bytes
        self._server.error_log = _log_error
        self._server.nodelay = True
        self._server.expiration_interval = _POLL_SECONDS
        if self._tls.enabled:
            self._server.ssl_adapter = BuiltinSSLAdapter(
                self._tls.certificate_file,
                self._tls.key_file,
            )
        self._executor = ThreadPoolExecutor(1, 'http-accept')

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Listen and serve in a background thread.

        Raises:
            CannotListenError: The address is in use or cannot be bound.
        """
        try:
            self._server.prepare()
        except OSError as error:
            endpoint = self._endpoint
            raise CannotListenError(
                endpoint.host,
                endpoint.port,
                error,
            ) from error
        self._serve_future = self._executor.submit(self._server.serve)

    def stop(self) -> None:
        """Stop listening; call it after all requests have ended."""
        if self._serve_future is not None:
            self._server.stop()
        self._executor.shutdown(wait=True)


def _log_error(
    message: str = '',
    level: int = logging.INFO,
    traceback: bool = False,
) -> None:
    """Log a message from cheroot."""
    if traceback:
        logging.error('http server: %s', message, exc_info=True)
    else:
        logging.debug('http server: %s (level %s)', message, level)
