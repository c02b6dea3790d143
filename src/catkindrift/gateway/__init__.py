"""An entry VM on the users' platform: the data path and what feeds it."""

from catkindrift.gateway._gateway import Gateway
from catkindrift.gateway._run import run_gateway

__all__ = ['Gateway', 'run_gateway']
