"""Global traffic steering between callers and upstreams."""

__all__ = ['__version__']

__version__ = '0.1.0'
