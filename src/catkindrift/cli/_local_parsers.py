"""Arguments of commands that don't use the operator API."""

import argparse
from typing import Any

_FILE_METAVAR = 'FILE'


def add_process_commands(commands: Any) -> None:
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


def add_report_command(commands: Any) -> None:
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
