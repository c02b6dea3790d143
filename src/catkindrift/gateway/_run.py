"""Runs an entry VM of the users' platform as a process."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path

from absl import logging

from catkindrift.errors import SettingsFileError
from catkindrift.gateway._gateway import Gateway
from catkindrift.gateway._settings_file import SettingsFile

SETTINGS_VARIABLE = 'CATKINDRIFT_SETTINGS'
# The same as the command line's for wrong settings.
_USAGE_EXIT_CODE = 2
# A change without a signal is noticed within this time.
_RELOAD_CHECK_SECONDS = 2.0


def run_gateway(path: str) -> None:
    """Run until told to stop.

    Args:
        path: Settings file; when empty, the environment names it.

    Raises:
        SettingsFileError: No file is named, or it cannot be read.
        ExceptionGroup: Of a `SettingError` for each mistake in the file.
        OSError: An address cannot be listened on.
    """
    named = path or os.environ.get(SETTINGS_VARIABLE, '')
    if not named:
        raise SettingsFileError(
            f'no settings file; give --settings or set {SETTINGS_VARIABLE}',
        )
    settings_file = SettingsFile(Path(named))
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    asyncio.run(_serve(settings_file))


def main() -> int:
    """Run as the platform does; print every mistake in the settings."""
    try:
        run_gateway('')
    except SettingsFileError as unreadable:
        return _print_errors([unreadable])
    except ExceptionGroup as mistakes:
        return _print_errors(mistakes.exceptions)
    return 0


def _print_errors(mistakes: Iterable[Exception]) -> int:
    for mistake in mistakes:
        sys.stderr.write(f'{mistake}\n')
    return _USAGE_EXIT_CODE


async def _serve(settings_file: SettingsFile) -> None:
    gateway = Gateway(settings_file.settings)
    stop = asyncio.Event()
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    await gateway.start()
    reloader = loop.create_task(
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
    """Read the file again on a signal, and when it has changed without."""
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), _RELOAD_CHECK_SECONDS)
        changed.clear()
        newer = settings_file.read_if_changed()
        if newer:
            gateway.apply(newer)
