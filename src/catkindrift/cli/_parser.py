"""Argument parser of the command line."""

import argparse
import os
from typing import Any

from catkindrift import __version__
from catkindrift.cli._local_parsers import add_local_commands
from catkindrift.cli._operator_commands import (
    run_headroom,
    run_intent,
    run_place,
    run_plan,
    run_service,
    run_status,
)

_EPILOG = """exit codes:
  0  done
  1  the operator API refused the request; the message states the reason
  2  wrong usage, or errors in a settings file
  3  no entry VM can be reached, or an address cannot be listened on
  4  conflict: the state that the request is based on has changed
"""
_FOLLOW_TIMEOUT_SECONDS = 60.0


def make_parser() -> argparse.ArgumentParser:
    """Build the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog='catkindrift',
        description='Global traffic steering between callers and upstreams.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'catkindrift {__version__}',
    )
    commands = parser.add_subparsers(
        dest='command',
        required=True,
        metavar='COMMAND',
    )
    add_local_commands(commands)
    common = _common_options()
    _add_service(commands, common)
    _add_place(commands, common)
    _add_intent(commands, common)
    _add_plan(commands, common)
    _add_status_commands(commands, common)
    return parser


def _common_options() -> argparse.ArgumentParser:
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        '--url',
        default=os.environ.get('CATKINDRIFT_URL', 'http://127.0.0.1:8001'),
        help='operator address of any entry VM (CATKINDRIFT_URL)',
    )
    common.add_argument(
        '--token',
        default=os.environ.get('CATKINDRIFT_TOKEN', ''),
        help='operator token; prefer the variable CATKINDRIFT_TOKEN',
    )
    common.add_argument(
        '--ca-file',
        default=os.environ.get('CATKINDRIFT_CA_FILE', ''),
        help='PEM file of trusted authorities (CATKINDRIFT_CA_FILE)',
    )
    common.add_argument('--json', action='store_true', help='print JSON')
    return common


def _add_service(commands: Any, common: argparse.ArgumentParser) -> None:
    actions = _add_objects(commands, common, 'service', run_service)
    setter = actions.add_parser(
        'set',
        parents=[common],
        help='create or replace a service',
    )
    setter.add_argument('name')
    setter.add_argument(
        '--measure',
        choices=('latency', 'drain_time'),
        default='latency',
    )
    setter.add_argument(
        '--repeat',
        choices=('idempotent', 'unsafe', 'once'),
        default='unsafe',
        help='whether writes may run more than once',
    )
    setter.add_argument('--deadline-ms', type=int, default=10_000)
    setter.add_argument('--queue-limit', type=int, default=16)
    setter.add_argument('--max-body-bytes', type=int, default=1_000_000)


def _add_place(commands: Any, common: argparse.ArgumentParser) -> None:
    actions = _add_objects(commands, common, 'place', run_place)
    setter = actions.add_parser(
        'set',
        parents=[common],
        help='create or replace an availability zone',
    )
    setter.add_argument('name')
    setter.add_argument('--region', required=True)
    setter.add_argument(
        '--block',
        action='append',
        default=[],
        help='IPv4 block of clients near the zone; may be repeated',
    )


def _add_objects(
    commands: Any,
    common: argparse.ArgumentParser,
    kind: str,
    run: Any,
) -> Any:
    parser = commands.add_parser(kind, help=f'list and change {kind}s')
    parser.set_defaults(run=run)
    actions = parser.add_subparsers(
        dest='action',
        required=True,
        metavar='ACTION',
    )
    actions.add_parser('list', parents=[common], help=f'list all {kind}s')
    for action in ('show', 'remove'):
        named = actions.add_parser(
            action,
            parents=[common],
            help=f'{action} one {kind}',
        )
        named.add_argument('name')
    return actions


def _add_intent(commands: Any, common: argparse.ArgumentParser) -> None:
    parser = commands.add_parser(
        'intent',
        help='send an intent; the response is a plan to confirm',
    )
    parser.set_defaults(run=run_intent)
    intents = parser.add_subparsers(
        dest='intent',
        required=True,
        metavar='INTENT',
    )
    shift = intents.add_parser(
        'shift',
        parents=[common],
        help='move traffic of a service away from a region',
    )
    shift.add_argument('service')
    shift.add_argument('--from', dest='source', required=True, metavar='REGION')
    shift.add_argument('--to', dest='target', required=True, metavar='REGION')
    shift.add_argument(
        '--cap',
        type=int,
        required=True,
        help='maximum of moved requests per second',
    )
    shift.add_argument('--percent', type=int, default=100)
    drain = intents.add_parser(
        'drain',
        parents=[common],
        help='drain a VM or an availability zone',
    )
    drain.add_argument('scope', choices=('vm', 'zone'))
    drain.add_argument('target')
    bring_back = intents.add_parser(
        'bring-back',
        parents=[common],
        help='return a drained VM or zone, or end a shift',
    )
    bring_back.add_argument('target')


def _add_plan(commands: Any, common: argparse.ArgumentParser) -> None:
    parser = commands.add_parser('plan', help='read, confirm and follow plans')
    parser.set_defaults(run=run_plan)
    actions = parser.add_subparsers(
        dest='action',
        required=True,
        metavar='ACTION',
    )
    actions.add_parser('list', parents=[common], help='list all plans')
    for action in ('show', 'confirm', 'pause', 'resume', 'cancel'):
        named = actions.add_parser(
            action,
            parents=[common],
            help=f'{action} a plan',
        )
        named.add_argument('name')
    follow = actions.add_parser(
        'follow',
        parents=[common],
        help='wait until a plan has ended',
    )
    follow.add_argument('name')
    follow.add_argument(
        '--timeout', type=float, default=_FOLLOW_TIMEOUT_SECONDS
    )


def _add_status_commands(
    commands: Any, common: argparse.ArgumentParser
) -> None:
    status = commands.add_parser(
        'status',
        parents=[common],
        help='show zones, drains, shifts and open plans',
    )
    status.set_defaults(run=run_status)
    headroom = commands.add_parser(
        'headroom',
        parents=[common],
        help='show the free capacity of each service in each region',
    )
    headroom.set_defaults(run=run_headroom)
