"""Exceptions that calls between entry VMs raise on failure."""

from grpclib.exceptions import GRPCError, StreamTerminatedError

PEER_CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
)
