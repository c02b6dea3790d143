"""Entry point of the command line."""

import argparse
import os
import sys
from collections.abc import Sequence
from http import HTTPStatus

from catkindrift.cli._check_configuration import run_check_configuration
from catkindrift.cli._client import (
    OperatorClient,
    RefusedError,
    UnreachableError,
)
from catkindrift.cli._exit_code import ExitCode
from catkindrift.cli._explain import read_request_trace
from catkindrift.cli._output import print_document, write_error, write_line
from catkindrift.cli._parser import make_parser
from catkindrift.cli._processes import (
    check_settings,
    print_input_errors,
    run_demo,
    run_entry,
)
from catkindrift.cli._report_commands import run_report
from catkindrift.errors import (
    InvalidInputError,
    NotFoundError,
    PlatformUnavailableError,
    SettingsFileError,
)
from catkindrift.gateway import run_gateway

_INPUT_ERRORS = (SettingsFileError, InvalidInputError, ExceptionGroup)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code.

    Args:
        arguments: Command-line arguments without the program's name;
            defaults to those of the process.
    """
    args = make_parser().parse_args(arguments)
    try:
        return _run(args)
    except _INPUT_ERRORS as invalid:
        print_input_errors(invalid)
        return ExitCode.USAGE
    except NotFoundError as unknown:
        write_error(str(unknown))
        return ExitCode.REFUSED
    except BrokenPipeError:
        _discard_output()
        return ExitCode.DONE
    except (UnreachableError, PlatformUnavailableError) as unreachable:
        write_error(str(unreachable))
        return ExitCode.UNREACHABLE
    except RefusedError as refused:
        write_error(str(refused))
        if refused.status == HTTPStatus.CONFLICT:
            return ExitCode.CONFLICT
        return ExitCode.REFUSED


def _run(args: argparse.Namespace) -> ExitCode:
    match args.command:
        case 'demo':
            return run_demo(args.deployment, args.seconds)
        case 'entry':
            return run_entry(args.settings)
        case 'gateway':
            run_gateway(args.settings)
            return ExitCode.DONE
        case 'explain':
            return _explain(args)
        case 'check-settings':
            return check_settings(args.file)
        case 'check-configuration':
            return run_check_configuration(args)
        case 'report':
            run_report(args)
            return ExitCode.DONE
    client = OperatorClient(args.url, args.token, args.ca_file)
    document = args.run(client, args)
    print_document(document, as_json=args.json)
    return ExitCode.DONE


def _explain(args: argparse.Namespace) -> ExitCode:
    trace = read_request_trace(args.request_id, args.logs)
    if args.json:
        print_document(trace.document, as_json=True)
    else:
        write_line(trace.text)
    return ExitCode.DONE


def _discard_output() -> None:
    """Redirect the standard output, whose reader is gone, to the null device.

    Otherwise the flush at exit would raise BrokenPipeError again.
    """
    devnull = os.open(os.devnull, os.O_WRONLY)
    os.dup2(devnull, sys.stdout.fileno())
