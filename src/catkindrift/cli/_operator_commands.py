"""Commands that send requests to the operator API."""

import argparse
import time
from typing import Any

from catkindrift.cli._client import OperatorClient

_POLL_SECONDS = 0.5
_FINAL_STATES = frozenset(('done', 'cancelled'))


def run_service(client: OperatorClient, args: argparse.Namespace) -> Any:
    """Run a `service` command: list, show, set or remove services."""
    return _run_objects(client, args, 'services', _service_body)


def run_place(client: OperatorClient, args: argparse.Namespace) -> Any:
    """Run a `place` command: list, show, set or remove availability zones."""
    return _run_objects(client, args, 'zones', _place_body)


def run_intent(client: OperatorClient, args: argparse.Namespace) -> Any:
    """Send an intent and return the plan that was created for it."""
    match args.intent:
        case 'shift':
            body: dict[str, Any] = {
                'kind': 'shift',
                'service': args.service,
                'source_region': args.source,
                'target_region': args.target,
                'cap_per_second': args.cap,
                'percent': args.percent,
            }
        case 'drain':
            drain = {'scope': args.scope, 'target': args.target}
            body = {'kind': 'drain', 'drain': drain}
        case _:
            body = {'kind': 'bringback', 'target': args.target}
    return client.send('POST', 'intents', body)


def run_plan(client: OperatorClient, args: argparse.Namespace) -> Any:
    """Run a `plan` command: list, show, follow or change plans."""
    match args.action:
        case 'list':
            return client.get('plans')
        case 'show':
            return client.get(f'plans/{args.name}')
        case 'follow':
            return _wait_until_ended(client, args.name, args.timeout)
    return client.send('POST', f'plans/{args.name}/{args.action}')


def run_status(client: OperatorClient, _args: argparse.Namespace) -> Any:
    """Return the status of the deployment."""
    return client.get('status')


def run_headroom(client: OperatorClient, _args: argparse.Namespace) -> Any:
    """Return the free capacity of each service in each region."""
    return client.get('headroom')


def _run_objects(
    client: OperatorClient,
    args: argparse.Namespace,
    path: str,
    make_body: Any,
) -> Any:
    match args.action:
        case 'list':
            return client.get(path)
        case 'show':
            return client.get(f'{path}/{args.name}')
        case 'remove':
            return client.send('DELETE', f'{path}/{args.name}')
    return client.send('PUT', f'{path}/{args.name}', make_body(args))


def _service_body(args: argparse.Namespace) -> dict[str, Any]:
    return {
        'name': args.name,
        'measure': args.measure,
        'repeat': args.repeat,
        'deadline_ms': args.deadline_ms,
        'queue_limit': args.queue_limit,
        'max_body_bytes': args.max_body_bytes,
    }


def _place_body(args: argparse.Namespace) -> dict[str, Any]:
    return {'name': args.name, 'region': args.region, 'blocks': args.block}


def _wait_until_ended(client: OperatorClient, name: str, timeout: float) -> Any:
    """Poll a plan until it has ended or the timeout expires."""
    deadline = time.monotonic() + timeout
    plan = client.get(f'plans/{name}')
    while plan['state'] not in _FINAL_STATES and time.monotonic() < deadline:
        time.sleep(_POLL_SECONDS)
        plan = client.get(f'plans/{name}')
    return plan
