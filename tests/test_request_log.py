"""The request log: its limits, and the explanation of failed requests."""

import asyncio
import json
import os

import pytest

from catkindrift.cli import main
from catkindrift.clock import ManualClock
from catkindrift.gateway._bounded_output import BoundedOutput
from catkindrift.gateway._request_log import RequestLog
from catkindrift.steering import UpstreamLimits
from tests.platform_deployment import ask, deployed, head


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_volume_is_bounded_and_counted(pipe):
    """Mass refusals write a limited number of lines and count the dropped."""
    clock = ManualClock(100_000)
    output = BoundedOutput(clock, pipe[1])
    log = RequestLog(clock, 'front-1', output, UpstreamLimits(clock, 'front-1'))
    for number in range(500):
        log.log_refusal(f'a{number}', 'all_full', 100, 7)
    clock.advance(1000)
    log.log_dropped_lines()
    lines = os.read(pipe[0], 1_000_000).splitlines()
    assert len(lines) < 100
    last = json.loads(lines[-1])
    assert last['event'] == 'left_out'
    assert last['lines'] == 500 - (len(lines) - 1)


def test_blocked_output_holds_up_nothing(pipe):
    """Without a reader, lines are dropped and counted; writes don't block."""
    clock = ManualClock(100_000)
    output = BoundedOutput(clock, pipe[1])
    for _ in range(200):
        clock.advance(1000)
        for _ in range(50):
            output.write('x' * 300)
    assert output.dropped_lines > 0


def test_logs_explain_a_failed_request(tmp_path, capfd):
    """The explain command lists the failed attempts of a request id.

    Foreign and torn lines in the log must not prevent that.
    """

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for upstream in deployment.upstreams:
                upstream.script = [None]
            await ask(
                deployment.address(),
                head('/unsafe/x', 'POST', 'req-1'),
            )

    asyncio.run(scenario())
    log = tmp_path / 'front-1.log'
    torn = '{"at_ms":1,"vm"'
    log.write_text(f'{capfd.readouterr().out}\nforeign line\n{torn}\n')
    assert main(['explain', 'req-1', str(log)]) == 0
    output = capfd.readouterr().out
    assert 'attempt_failed: outcome=closed' in output
    assert 'ended: status=502' in output
    assert output.count('failure_rate=') == 2
    assert output.count('load_age_ms=') == 2
    assert output.count('host_speed_age_ms=') == 2
    assert output.count('target=/unsafe/x caller=127.0.0.1') == 2
    assert '1 torn lines' in output
    assert main(['explain', 'req-1', str(log), '--json']) == 0
    entries = json.loads(capfd.readouterr().out)['entries']
    assert [each['event'] for each in entries] == ['attempt_failed', 'ended']


def test_explanation_names_what_a_quarantined_request_crashed(tmp_path, capfd):
    """The refusal comes with the upstreams that it is held against for."""

    async def scenario():
        async with deployed(tmp_path, upstreams=4) as deployment:
            for upstream in deployment.upstreams:
                upstream.ends_at = b'/poison'
            for number in range(4):
                await ask(
                    deployment.address(),
                    head('/safe/poison', attempt=f'req-{number}'),
                )
                await asyncio.sleep(0.5)

    asyncio.run(scenario())
    log = tmp_path / 'front-1.log'
    log.write_text(capfd.readouterr().out)
    assert main(['explain', 'req-3', str(log)]) == 0
    output = capfd.readouterr().out
    assert 'verdict=quarantined: 2 crashes count of those of i-' in output
    assert 'target=/safe/poison' in output
    assert 'reason=quarantined' in output


def test_missing_route_tells_the_configuration(tmp_path, capfd):
    """The log of a 404 names the configuration version that was in force."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            await ask(deployment.address(), head('/none/x', attempt='req-2'))

    asyncio.run(scenario())
    log = tmp_path / 'front-1.log'
    log.write_text(capfd.readouterr().out)
    assert main(['explain', 'req-2', str(log)]) == 0
    output = capfd.readouterr().out
    assert 'refused: reason=no_route' in output
    assert 'configuration=1' in output


def test_unknown_request_and_missing_file_are_told(tmp_path, capsys):
    """Each error has its own exit code and a message with the remedy."""
    log = tmp_path / 'front-1.log'
    log.write_text('')
    assert main(['explain', 'nobody', str(log)]) == 1
    assert 'nobody' in capsys.readouterr().err
    assert main(['explain', 'nobody', str(tmp_path / 'none')]) == 2
    assert 'readable log file' in capsys.readouterr().err
