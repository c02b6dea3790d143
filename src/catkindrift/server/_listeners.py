"""Creates the three servers of an entry VM from its settings."""

import sys

from grpclib.server import Server as PeerServer

from catkindrift.callers import (
    HEADER_RULES,
    CallerApp,
    Forwarder,
    IgnoredOptions,
    LookupApp,
    RejectedRequests,
)
from catkindrift.clock import Clock
from catkindrift.entry_settings import EntrySettings
from catkindrift.http1 import HttpServer
from catkindrift.operators import (
    ApiContext,
    DeploymentReader,
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
from catkindrift.steering import CallerLimits

_OPERATOR_THREADS = 8
# Callers on slow links send request headers slowly and reuse connections.
_CALLER_IDLE_TIMEOUT_MS = 30_000
# The core enforces the body limit of each service.
_UNLIMITED_BODY_BYTES = sys.maxsize


def create_caller_server(
    settings: EntrySettings,
    clock: Clock,
    forwarder: Forwarder,
    lookup_app: LookupApp,
    metrics: Metrics,
) -> HttpServer:
    """Return the HTTP server for callers."""
    limits = CallerLimits(
        settings.limits.max_header_bytes,
        _UNLIMITED_BODY_BYTES,
        _CALLER_IDLE_TIMEOUT_MS,
        _CALLER_IDLE_TIMEOUT_MS,
    )
    return HttpServer(
        clock,
        CallerApp(forwarder, lookup_app, IgnoredOptions(clock, metrics)),
        lambda: limits,
        RejectedRequests(clock, metrics),
        HEADER_RULES,
        caller_server_context(settings.tls),
    )


def create_operator_server(
    settings: EntrySettings,
    context: ApiContext,
    service: OperatorService,
    reader: DeploymentReader,
    metrics: Metrics,
) -> ThreadedServer:
    """Return the HTTP server of the operator API."""
    _, operators, _ = settings.listen.endpoints
    application = operator_application(
        context,
        service,
        reader,
        metrics.registry,
    )
    return ThreadedServer(
        operators,
        application,
        _OPERATOR_THREADS,
        settings.limits.max_header_bytes,
        settings.tls,
    )


def create_peer_listener(
    settings: EntrySettings,
    service: PeersService,
) -> PeerListener:
    """Return the gRPC server for other entry VMs."""
    _, _, peers = settings.listen.endpoints
    return PeerListener(
        PeerServer([service]),
        peers,
        peer_server_context(settings.tls),
    )
