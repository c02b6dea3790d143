"""Entry VM on the platform: request forwarding and its data sources."""

from catkindrift.gateway._gateway import Gateway
from catkindrift.gateway._run import main, run_gateway

__all__ = ['Gateway', 'main', 'run_gateway']
