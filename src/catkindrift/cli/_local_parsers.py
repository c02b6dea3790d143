"""Arguments of commands that don't use the operator API."""

import argparse
from typing import Any

_FILE_METAVAR = 'FILE'


def add_local_commands(commands: Any) -> None:
    """Add the commands that don't use the operator API."""
    _add_process_commands(commands)
    _add_configuration_check(commands)
    _add_report_command(commands)


def _add_process_commands(commands: Any) -> None:
    """Add the commands that run a process or read local files."""
    demo = commands.add_parser(
        'demo',
        help='run a complete deployment on loopback',
    )
    demo.add_argument(
        '--deployment',
        metavar=_FILE_METAVAR,
        help='deployment file, such as examples/agency.toml; '
        'default: a small deployment',
    )
    demo.add_argument(
        '--seconds',
        type=float,
        default=0,
        help='stop after this number of seconds; default: run until Ctrl-C',
    )
    entry = commands.add_parser('entry', help='run one entry VM')
    entry.add_argument('--settings', metavar=_FILE_METAVAR, required=True)
    gateway = commands.add_parser(
        'gateway',
        help="run one entry VM on the users' platform",
    )
    gateway.add_argument(
        '--settings',
        metavar=_FILE_METAVAR,
        default='',
        help='settings file; default: the value of CATKINDRIFT_SETTINGS',
    )
    explain = commands.add_parser(
        'explain',
        help='show what the logs contain about one request',
    )
    explain.add_argument('request_id', metavar='REQUEST-ID')
    explain.add_argument('logs', metavar=_FILE_METAVAR, nargs='+')
    explain.add_argument('--json', action='store_true', help='print JSON')
    check = commands.add_parser(
        'check-settings',
        help='report every error in a settings or deployment file',
    )
    check.add_argument('file', metavar=_FILE_METAVAR)


def _add_configuration_check(commands: Any) -> None:
    """Add the command that checks a configuration before it is sent."""
    check = commands.add_parser(
        'check-configuration',
        help='report every mistake in a configuration before it is sent',
        description='Exit codes: 0 no mistakes, 1 entries without effect or '
        'contradicting limits, 2 mistakes for which entry VMs refuse it.',
    )
    check.add_argument('file', metavar=_FILE_METAVAR)
    other = check.add_mutually_exclusive_group()
    other.add_argument(
        '--against',
        metavar=_FILE_METAVAR,
        default='',
        help='show what differs from the version in this file',
    )
    other.add_argument(
        '--in-force',
        metavar='IP:PORT',
        default='',
        help='show what differs from the version in the store at an address',
    )
    check.add_argument('--json', action='store_true', help='print JSON')


def _add_report_command(commands: Any) -> None:
    """Add the command that reports on service-level objectives."""
    parser = commands.add_parser(
        'report',
        help='collect samples and report the error budget burn',
    )
    parser.add_argument(
        'action',
        choices=('collect', 'burn'),
        help='collect: only add samples; burn: also print the report',
    )
    parser.add_argument(
        '--metrics-url',
        action='append',
        default=[],
        metavar='URL',
        help='operator address of an entry VM; may be repeated',
    )
    _add_report_files(parser)
    parser.add_argument(
        '--rounds', type=int, default=1, help='number of collections'
    )
    parser.add_argument(
        '--interval', type=float, default=5, help='seconds between collections'
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.add_argument('--ca-file', default='')


def _add_report_files(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--samples', metavar=_FILE_METAVAR, help='file of samples to extend'
    )
    parser.add_argument(
        '--objectives',
        metavar=_FILE_METAVAR,
        default='examples/objectives.toml',
    )
    parser.add_argument(
        '--html', metavar=_FILE_METAVAR, help='write an HTML page with charts'
    )
