"""Command that checks a configuration before it is sent."""

import argparse
import asyncio
import json
from pathlib import Path
from typing import Any, final

import attrs

from catkindrift.cli._exit_code import ExitCode
from catkindrift.cli._output import print_document, write_line
from catkindrift.configuration_check import (
    Difference,
    Finding,
    Severity,
    check_configuration,
    check_domain_configuration,
    compare_configurations,
)
from catkindrift.domain import Configuration, decode_json
from catkindrift.errors import (
    InvalidInputError,
    NotFoundError,
)
from catkindrift.platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    StoreClient,
    is_configuration,
    parse_configuration,
    workspace_keys,
)
from catkindrift.settings import Endpoint

_STORE_TIMEOUT_S = 5.0


@final
@attrs.frozen
class _Report:
    """Result of a check.

    Args:
        findings: Mistakes and contradictions.
        differences: What differs from another version.
    """

    findings: list[Finding]
    differences: list[Difference]

    @property
    def exit_code(self) -> ExitCode:
        """Usage errors if entry VMs would refuse the configuration."""
        severities = {each.severity for each in self.findings}
        if Severity.ERROR in severities:
            return ExitCode.USAGE
        return ExitCode.REFUSED if severities else ExitCode.DONE


def run_check_configuration(args: argparse.Namespace) -> ExitCode:
    """Check a configuration file and print the result.

    Raises:
        InvalidInputError: A file can't be read or is not JSON.
        NotFoundError: The store has no configuration.
        PlatformUnavailableError: The store can't be reached.
    """
    document = _read(args.file)
    against = _read(args.against) if args.against else None
    if args.in_force:
        against = asyncio.run(_read_from_store(args.in_force))
    report = _check(document, against)
    if args.json:
        print_document(attrs.asdict(report), as_json=True)
    else:
        _print(report)
    return report.exit_code


def _check(document: Any, against: Any) -> _Report:
    if not is_configuration(document):
        known = decode_json(json.dumps(document), Configuration)
        return _Report(check_domain_configuration(known), [])
    try:
        configuration = parse_configuration(document)
    except ExceptionGroup as invalid:
        return _Report([_error(each) for each in invalid.exceptions], [])
    keys = workspace_keys(document)
    differences: list[Difference] = []
    if against is not None:
        differences = compare_configurations(
            parse_configuration(against),
            configuration,
            workspace_keys(against),
            keys,
        )
    return _Report(check_configuration(configuration, keys), differences)


def _error(mistake: Any) -> Finding:
    return Finding(
        Severity.ERROR, mistake.place, mistake.mistake, mistake.remedy
    )


def _print(report: _Report) -> None:
    for finding in report.findings:
        write_line(finding.text)
    for difference in report.differences:
        write_line(difference.text)
    if not report.findings:
        write_line('no mistakes')


def _read(name: str) -> Any:
    try:
        return json.loads(Path(name).read_text(encoding='utf-8'))
    except OSError as unreadable:
        raise InvalidInputError(
            f'{name}: {unreadable.strerror}; name a readable file'
        ) from unreadable
    except ValueError as malformed:
        raise InvalidInputError(
            f'{name} is not JSON: {malformed}; correct that place'
        ) from malformed


async def _read_from_store(address: str) -> Any:
    endpoint = Endpoint.parse(address)
    client = StoreClient(endpoint.host, endpoint.port)
    page = await client.list_page(CONFIGURATION_KIND, '', _STORE_TIMEOUT_S)
    for stored in page.objects:
        if stored.name == CONFIGURATION_NAME:
            return stored.spec
    raise NotFoundError(
        f'the store at {address} has no configuration; leave --in-force out'
    )
