"""Requests that are rejected leave a line in the log and a count."""

import asyncio
import json

import pytest

from catkindrift.settings import Endpoint
from tests.deployment import HTTP
from tests.platform_deployment import ask, deployed, head
from tests.test_bad_input import send_raw

CODINGS = 'Transfer-Encoding: gzip, chunked\r\n'
METRIC = 'catkindrift_rejected_requests_total{reason="framing"}'


@pytest.mark.parametrize(
    'listener', ['callers', 'peers', 'directory', 'readiness', 'metrics']
)
def test_rejected_request_is_logged_and_counted(tmp_path, capfd, listener):
    """A 400 used to leave no trace by which an operator finds its reason."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            gateway = deployment.gateways[0]
            endpoint = Endpoint.parse(
                getattr(gateway._settings.listen, listener)
            )
            request = head('/unsafe/x', 'POST', attempt='a7', extra=CODINGS)
            status, _, _ = await ask((endpoint.host, endpoint.port), request)
            assert status == 400
            metrics = gateway._parts.metrics
            return metrics.rejected_requests.labels('framing').total

    assert asyncio.run(scenario()) == 1
    lines = [
        json.loads(line)
        for line in capfd.readouterr().out.splitlines()
        if '"event":"rejected"' in line
    ]
    assert [
        (each['id'], each['reason'], each['listener']) for each in lines
    ] == [('a7', 'framing', listener)]


@pytest.mark.parametrize('times', [1, 2])
def test_own_interface_logs_and_counts_too(running, caplog, times):
    """Each rejected request has a line and a count on our own interface."""
    for _ in range(times):
        send_raw(
            running.callers_url(),
            f'POST /services/surveys/x HTTP/1.1\r\nHost: x\r\n{CODINGS}\r\n'
            '0\r\n\r\n'.encode(),
        )
    assert caplog.text.count('reason=framing') == times
    response = HTTP.request('GET', f'{running.operators_url()}/metrics')
    assert METRIC in response.data.decode()
