"""Commands that run entry VMs or check settings files."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path
from typing import Any

from absl import logging

from catkindrift.cli._exit_code import ExitCode
from catkindrift.cli._output import write_error, write_line
from catkindrift.demo import DEMO_TOKEN, LocalDeployment, sample_deployment
from catkindrift.entry_settings import Deployment, EntrySettings
from catkindrift.process_signals import ProcessSignals
from catkindrift.report import Objectives
from catkindrift.server import EntryVm
from catkindrift.settings import GatewaySettings
from catkindrift.strict_settings import load_settings
from catkindrift.toml_document import read_document

_THREAD_SWITCH_SECONDS = 0.0005


def run_entry(path: str) -> ExitCode:
    """Run one entry VM until SIGINT or SIGTERM."""
    settings = load_settings(Path(path), EntrySettings)
    _log_to_stderr()
    signals = ProcessSignals()
    signals.install()
    try:
        asyncio.run(_run_entry_vm(settings, signals))
    except OSError as failure:
        write_error(str(failure))
        return ExitCode.UNREACHABLE
    return ExitCode.DONE


def run_demo(path: str | None, seconds: float) -> ExitCode:
    """Run a complete deployment on loopback.

    Args:
        path: Deployment file, None for the sample deployment.
        seconds: Time to run; 0 to run until SIGINT or SIGTERM.
    """
    deployment = sample_deployment()
    if path:
        deployment = load_settings(Path(path), Deployment)
    asyncio.run(_run_local_deployment(deployment, seconds))
    return ExitCode.DONE


def check_settings(name: str) -> ExitCode:
    """Check a settings, deployment or objectives file.

    Raises:
        SettingsFileError: The file cannot be read or is not valid TOML.
        ExceptionGroup: Contains a `SettingError` for each invalid setting.
    """
    path = Path(name)
    document = read_document(path)
    load_settings(path, _settings_type(document))
    write_line(f'{path}: no errors')
    return ExitCode.DONE


def print_input_errors(error: Exception) -> None:
    """Print an error, or each error of an exception group."""
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            write_error(str(inner))
    else:
        write_error(str(error))


def _settings_type(document: dict[str, Any]) -> type[Any]:
    if 'deployment' in document:
        return Deployment
    if 'objectives' in document:
        return Objectives
    if 'zones' in document:
        return GatewaySettings
    return EntrySettings


async def _run_entry_vm(
    settings: EntrySettings, signals: ProcessSignals
) -> None:
    # Switch from server threads to the event loop sooner than after the
    # default interval of 5 ms.
    sys.setswitchinterval(_THREAD_SWITCH_SECONDS)
    entry_vm = EntryVm(settings)
    stop = asyncio.Event()
    signals.pass_on(
        asyncio.get_running_loop().call_soon_threadsafe,
        {
            signal.SIGINT: stop.set,
            signal.SIGTERM: stop.set,
            signal.SIGHUP: _log_kept_settings,
        },
    )
    with contextlib.closing(signals):
        await entry_vm.start()
        await stop.wait()
        await entry_vm.stop()


def _log_kept_settings() -> None:
    logging.warning(
        'SIGHUP: settings are read at the start only; restart to apply changes'
    )


async def _run_local_deployment(deployment: Deployment, seconds: float) -> None:
    local = LocalDeployment(deployment)
    stop = _make_stop_event()
    async with contextlib.AsyncExitStack() as stack:
        # Stop also after a failed start, which would leave threads running.
        stack.push_async_callback(local.stop)
        await local.start()
        _print_addresses(local)
        try:
            await asyncio.wait_for(stop.wait(), seconds or None)
        except TimeoutError:
            write_line('time limit reached')
    write_line('stopped')


def _print_addresses(local: LocalDeployment) -> None:
    write_line(f'Simulated platform {local.platform_url}')
    write_line('Entry VMs (callers, operators):')
    for name, settings in local.settings.items():
        listen = settings.listen
        write_line(
            f'  {name}  http://{listen.callers}  http://{listen.operators}'
        )
    first = next(iter(local.settings.values())).listen
    program = sys.argv[0]
    if program.endswith('__main__.py'):
        program = 'python -m catkindrift'
    options = f'--url http://{first.operators} --token {DEMO_TOKEN}'
    write_line('Try:')
    write_line(f"  curl 'http://{first.callers}/lookup?block=10.21.0.0/24'")
    write_line(f'  curl http://{first.callers}/services/tariffs/2026')
    write_line(
        f'  {program} intent shift tariffs --from asturias --to cantabria '
        f'--cap 20 {options}',
    )
    write_line('Press Ctrl-C to stop the demo.')


def _make_stop_event() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    return stop


def _log_to_stderr() -> None:
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
