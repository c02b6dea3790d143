"""Runs an entry VM with ``python -m catkindrift.gateway``."""

from catkindrift.gateway._run import run_gateway

if __name__ == '__main__':
    run_gateway('')
