"""Command-line interface."""

from catkindrift.cli._exit_code import ExitCode
from catkindrift.cli._main import main

__all__ = ['ExitCode', 'main']
