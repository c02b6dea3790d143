"""Failures of calls between entry VMs."""

from grpclib.exceptions import GRPCError, StreamTerminatedError

PEER_FAILURES = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
)
