"""The three servers of an entry VM, made from its settings."""

import sys

from grpclib.server import Server as PeerServer

from catkindrift.callers import (
    CallerApp,
    Forwarder,
    LookupApp,
    invalid_request_response,
)
from catkindrift.clock import Clock
from catkindrift.http1 import HttpServer
from catkindrift.operators import (
    ApiContext,
    Observer,
    OperatorService,
    operator_application,
)
from catkindrift.peers import PeersService
from catkindrift.server._peer_listener import PeerListener
from catkindrift.serving import (
    Metrics,
    ThreadedServer,
    caller_server_context,
    peer_server_context,
)
from catkindrift.settings import EntrySettings
from catkindrift.steering import CallerLimits

_OPERATOR_THREADS = 8
# Callers on poor links send their heads slowly, and keep connections.
_CALLER_SILENCE_MS = 30_000
# Each service has a limit of its own, which the core knows.
_ANY_BODY_BYTES = sys.maxsize


def caller_server(
    settings: EntrySettings,
    clock: Clock,
    forwarder: Forwarder,
    lookups: LookupApp,
) -> HttpServer:
    """Return the server for callers."""
    limits = CallerLimits(
        settings.limits.max_header_bytes,
        _ANY_BODY_BYTES,
        _CALLER_SILENCE_MS,
        _CALLER_SILENCE_MS,
    )
    return HttpServer(
        clock,
        CallerApp(forwarder, lookups),
        lambda: limits,
        invalid_request_response,
        caller_server_context(settings.tls),
    )


def operator_server(
    settings: EntrySettings,
    context: ApiContext,
    service: OperatorService,
    observer: Observer,
    metrics: Metrics,
) -> ThreadedServer:
    """Return the server for operators."""
    _, operators, _ = settings.listen.endpoints
    application = operator_application(
        context,
        service,
        observer,
        metrics.registry,
    )
    return ThreadedServer(
        operators,
        application,
        _OPERATOR_THREADS,
        settings.limits.max_header_bytes,
        settings.tls,
    )


def peer_listener(
    settings: EntrySettings,
    service: PeersService,
) -> PeerListener:
    """Return the server for other entry VMs."""
    _, _, peers = settings.listen.endpoints
    return PeerListener(
        PeerServer([service]),
        peers,
        peer_server_context(settings.tls),
    )
