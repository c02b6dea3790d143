"""Failures of calls between entry VMs."""

from grpclib.exceptions import GRPCError, StreamTerminatedError

PEER_CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
)
