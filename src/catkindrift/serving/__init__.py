"""What all servers of an entry VM share."""

from catkindrift.serving._bridge import Bridge
from catkindrift.serving._http_server import HttpServer
from catkindrift.serving._incomplete_answer import IncompleteAnswerError
from catkindrift.serving._metrics import Metrics
from catkindrift.serving._problem import Problem, problem_of
from catkindrift.serving._tls import peer_client_context, peer_server_context

__all__ = [
    'Bridge',
    'HttpServer',
    'IncompleteAnswerError',
    'Metrics',
    'Problem',
    'peer_client_context',
    'peer_server_context',
    'problem_of',
]
