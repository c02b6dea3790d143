"""A deployment on loopback with simulated platform and upstreams."""

from catkindrift.demo._deployment import DEMO_TOKEN, LocalDeployment
from catkindrift.demo._ports import LOOPBACK, free_ports
from catkindrift.demo._sample import sample_deployment
from catkindrift.demo._upstream_app import UpstreamApp

__all__ = [
    'DEMO_TOKEN',
    'LOOPBACK',
    'LocalDeployment',
    'UpstreamApp',
    'free_ports',
    'sample_deployment',
]
