"""HTTP/1.1 on asyncio: a server for callers and client connections."""

from catkindrift.http1._client_connection import ClientConnection
from catkindrift.http1._connection_limit import ConnectionLimit
from catkindrift.http1._connection_pool import ConnectionPool
from catkindrift.http1._exchange import Exchange
from catkindrift.http1._failure import ResponseFailure
from catkindrift.http1._graceful_close import close_when_read, wait_until
from catkindrift.http1._header_rules import HeaderRules
from catkindrift.http1._headers import (
    Headers,
    body_length,
    encode_head,
    find_header,
)
from catkindrift.http1._held_heads import HeldHeads
from catkindrift.http1._http_client import HttpClient
from catkindrift.http1._receiver import ResponseReceiver
from catkindrift.http1._rejection import RejectedRequest, RejectionReason
from catkindrift.http1._request import CallerRequest
from catkindrift.http1._request_body import RequestBody
from catkindrift.http1._response import BodyStream, Response
from catkindrift.http1._response_body_stream import ResponseBodyStream
from catkindrift.http1._response_head import ResponseHead
from catkindrift.http1._response_queue import CLOSED_BY_SERVER, Handler
from catkindrift.http1._server import HttpServer

__all__ = [
    'CLOSED_BY_SERVER',
    'BodyStream',
    'CallerRequest',
    'ClientConnection',
    'ConnectionLimit',
    'ConnectionPool',
    'Exchange',
    'Handler',
    'HeaderRules',
    'Headers',
    'HeldHeads',
    'HttpClient',
    'HttpServer',
    'RejectedRequest',
    'RejectionReason',
    'RequestBody',
    'Response',
    'ResponseBodyStream',
    'ResponseFailure',
    'ResponseHead',
    'ResponseReceiver',
    'body_length',
    'close_when_read',
    'encode_head',
    'find_header',
    'wait_until',
]
