"""Entry point of an entry VM process on the users' platform."""

import asyncio
import contextlib
import logging
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path

from catkindrift.errors import SettingsFileError
from catkindrift.gateway._gateway import Gateway
from catkindrift.gateway._settings_file import SettingsFile
from catkindrift.process_signals import ProcessSignals

SETTINGS_VARIABLE = 'CATKINDRIFT_SETTINGS'
# The command line interface exits with the same code on invalid settings.
_USAGE_EXIT_CODE = 2
# Severity, time, place and text, as the lines of the other commands.
_LOG_FORMAT = (
    '%(levelname).1s%(asctime)s %(process)d %(filename)s:%(lineno)d] '
    '%(message)s'
)
# A changed file is detected within this time even without SIGHUP.
_RELOAD_CHECK_SECONDS = 2.0


def run_gateway(path: str, signals: ProcessSignals | None = None) -> None:
    """Run an entry VM until SIGINT or SIGTERM.

    Args:
        path: Settings file; if empty, the environment variable
            `CATKINDRIFT_SETTINGS` gives it.
        signals: Signals that the process handles already; None if it does
            not.

    Raises:
        SettingsFileError: No file is given, or it cannot be read.
        ExceptionGroup: The file is invalid; holds one `SettingError` per
            mistake.
        OSError: Listening on an address failed.
    """
    named = path or os.environ.get(SETTINGS_VARIABLE, '')
    if not named:
        raise SettingsFileError(
            f'no settings file; give --settings or set {SETTINGS_VARIABLE}',
        )
    settings_file = SettingsFile(Path(named))
    logging.basicConfig(level=logging.INFO, format=_LOG_FORMAT)
    if signals is None:
        signals = ProcessSignals()
        signals.install()
    asyncio.run(_serve(settings_file, signals))


def main(signals: ProcessSignals | None = None) -> int:
    """Run from the environment's settings; print each mistake in them.

    Args:
        signals: Signals that the process handles already; None if it does
            not.

    Returns:
        The exit code.
    """
    try:
        run_gateway('', signals)
    except SettingsFileError as unreadable:
        return _print_errors([unreadable])
    except ExceptionGroup as mistakes:
        return _print_errors(mistakes.exceptions)
    return 0


def _print_errors(mistakes: Iterable[Exception]) -> int:
    for mistake in mistakes:
        sys.stderr.write(f'{mistake}\n')
    return _USAGE_EXIT_CODE


async def _serve(settings_file: SettingsFile, signals: ProcessSignals) -> None:
    gateway = Gateway(settings_file.settings)
    stop = asyncio.Event()
    changed = asyncio.Event()
    # A signal may have come since the file was read.
    changed.set()
    signals.pass_on(
        asyncio.get_running_loop().call_soon_threadsafe,
        {
            signal.SIGINT: stop.set,
            signal.SIGTERM: stop.set,
            signal.SIGHUP: changed.set,
        },
    )
    with contextlib.closing(signals):
        await gateway.start()
        reloader = asyncio.create_task(
            _reload_settings(settings_file, gateway, changed)
        )
        await stop.wait()
        reloader.cancel()
        await gateway.stop()


async def _reload_settings(
    settings_file: SettingsFile,
    gateway: Gateway,
    changed: asyncio.Event,
) -> None:
    """Reload the settings file on SIGHUP and whenever it has changed."""
    while True:
        with contextlib.suppress(TimeoutError):
            # wait_for would lose a cancellation that comes with a change.
            async with asyncio.timeout(_RELOAD_CHECK_SECONDS):
                await changed.wait()
        changed.clear()
        newer = settings_file.read_if_changed()
        if newer:
            gateway.apply(newer)
