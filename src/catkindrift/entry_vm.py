"""Starts an entry VM of the platform: ``python -m catkindrift.entry_vm``.

The platform starts it by `catkindrift.source_loader`.
"""

import gc
import sys
from collections.abc import Callable

from catkindrift.process_signals import ProcessSignals


def load() -> None:
    """Import what an entry VM needs, and no more.

    Asyncio is loaded without TLS: no connection of this process uses it, and
    it takes a tenth of the start's processor time and 5 MB. What needs TLS
    later can still load it.
    """
    # Nothing that is loaded here is ever garbage.
    gc.disable()
    sys.modules['ssl'] = None  # type: ignore[assignment]
    import asyncio  # noqa: PLC0415, F401

    sys.modules.pop('ssl')
    from catkindrift import gateway  # noqa: PLC0415, F401

    gc.freeze()
    gc.enable()


def main(on_loaded: Callable[[], None] | None = None) -> int:
    """Run until SIGINT or SIGTERM; return the exit code.

    Args:
        on_loaded: Called when all modules that a start needs are loaded.
    """
    signals = ProcessSignals()
    signals.install()
    load()
    from catkindrift.gateway import main as run  # noqa: PLC0415

    if on_loaded:
        on_loaded()
    return run(signals)


if __name__ == '__main__':
    sys.exit(main())
