"""Components that all servers of an entry VM share."""

from catkindrift.serving._event_loop_bridge import EventLoopBridge
from catkindrift.serving._metrics import Metrics
from catkindrift.serving._problem import Problem, refusal_problem
from catkindrift.serving._threaded_server import ThreadedServer
from catkindrift.serving._tls import (
    caller_server_context,
    peer_client_context,
    peer_server_context,
)

__all__ = [
    'EventLoopBridge',
    'Metrics',
    'Problem',
    'ThreadedServer',
    'caller_server_context',
    'peer_client_context',
    'peer_server_context',
    'refusal_problem',
]
