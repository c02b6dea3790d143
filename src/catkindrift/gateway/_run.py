"""Runs an entry VM of the users' platform as a process."""

import asyncio
import os
import signal
from pathlib import Path

from absl import logging

from catkindrift.errors import SettingsFileError
from catkindrift.gateway._gateway import Gateway
from catkindrift.settings import GatewaySettings, load_settings

SETTINGS_VARIABLE = 'CATKINDRIFT_SETTINGS'


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
    settings = load_settings(Path(named), GatewaySettings)
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    asyncio.run(_serve(settings))


async def _serve(settings: GatewaySettings) -> None:
    gateway = Gateway(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    await gateway.start()
    await stop.wait()
    await gateway.stop()


def _note_reload() -> None:
    logging.info('settings are read again at the next start')
