"""Bad input gets a clear error and leaves state as it was."""

import json
import socket
import threading

import pytest

from catkindrift.cli import ExitCode, main
from catkindrift.demo import LOOPBACK, free_ports
from catkindrift.errors import (
    AuthenticationError,
    CannotListenError,
    ForbiddenError,
)
from catkindrift.operators import OperatorAuthorizer
from catkindrift.settings import OperatorRole, OperatorSettings
from tests.deployment import HTTP, RunningDeployment

VIEWER_DIGEST = (
    'd35ca5051b82ffc326a3b0b6574a9a3161dee16b9478a199ee39cd803ce5b799'
)
SETTINGS = """
[vm]
name = "entry-1"
zone = "north-1"
region = "north"
[listen]
callers = "{callers}"
operators = "{operators}"
peers = "{peers}"
[platform]
url = "http://127.0.0.1:1"
timeout_ms = 100
"""


def listening(**addresses):
    """Return settings with free ports, but for those given."""
    kinds = ('callers', 'operators', 'peers')
    ports = free_ports(len(kinds))
    free = {
        kind: f'{LOOPBACK}:{port}'
        for kind, port in zip(kinds, ports, strict=True)
    }
    return SETTINGS.format(**{**free, **addresses})


@pytest.fixture
def settings_file(tmp_path):
    """Write a settings file and return its path."""

    def write(text):
        path = tmp_path / 'entry.toml'
        path.write_text(text)
        return str(path)

    return write


def send_raw(url, content):
    """Send bytes and return all that comes back until the close."""
    host, _, port = url.removeprefix('http://').partition(':')
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(content)
        received = b''
        piece = connection.recv(65_536)
        while piece:
            received += piece
            piece = connection.recv(65_536)
    return received


class TestCallers:
    """Callers' mistakes are refused before anything runs."""

    def test_ambiguous_framing(self, running):
        """Content-Length with Transfer-Encoding is refused and closed."""
        answer = send_raw(
            running.callers_url(),
            b'POST /services/surveys/x HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\n',
        )
        assert answer.startswith(b'HTTP/1.1 400')
        assert b'send one of them' in answer

    def test_long_headers(self, running):
        """Headers over the limit are refused."""
        lines = ('GET /lookup HTTP/1.1', f'X: {"x" * 40_000}', '', '')
        request = '\r\n'.join(lines).encode()
        answer = send_raw(running.callers_url(), request)
        assert answer.startswith(b'HTTP/1.1 431')
        assert b'send fewer or shorter ones' in answer

    @pytest.mark.parametrize('block', ['nonsense', '1.2.3', '10.0.0.0.0'])
    def test_lookup_of_no_address(self, running, block):
        """A look-up needs an IPv4 address or block."""
        url = f'{running.callers_url()}/lookup?block={block}'
        answer = HTTP.request('GET', url)
        assert answer.status == 400
        assert 'send ?block=IPv4' in json.loads(answer.data)['detail']

    def test_missing_key(self, running):
        """A request that runs once needs a key."""
        url = f'{running.callers_url()}/services/reservations/r'
        answer = HTTP.request('POST', url, body=b'x')
        assert answer.status == 400
        assert 'Idempotency-Key' in json.loads(answer.data)['detail']

    def test_repeated_key(self, running):
        """A repeated key gets the recorded answer; another body an error."""
        url = f'{running.callers_url()}/services/reservations/r'
        headers = {'Idempotency-Key': 'household-7'}
        first = HTTP.request('POST', url, body=b'x', headers=headers)
        assert first.status == 200
        other = f'{running.callers_url(2)}/services/reservations/r'
        again = HTTP.request('POST', other, body=b'x', headers=headers)
        assert again.data == first.data
        assert again.headers['Idempotency-Replayed'] == 'true'
        changed = HTTP.request('POST', other, body=b'y', headers=headers)
        assert changed.status == 422

    def test_body_over_the_limit(self, running):
        """A body over the service's limit is refused as not run."""
        url = f'{running.callers_url()}/services/tariffs/x'
        answer = HTTP.request('POST', url, body=b'x' * 1_100_000)
        assert answer.status == 413
        assert json.loads(answer.data)['outcome'] == 'not_run'

    def test_malformed_timeout(self, running):
        """Request-Timeout has to be a number of seconds."""
        url = f'{running.callers_url()}/services/tariffs/x'
        answer = HTTP.request('GET', url, headers={'Request-Timeout': 'soon'})
        assert answer.status == 400


class TestOperatorApi:
    """Operators' mistakes change nothing."""

    @pytest.mark.parametrize(
        ('body', 'status', 'words'),
        [
            ({'kind': 'drain'}, 400, 'correct these fields'),
            ({'kind': 'dance'}, 400, 'body'),
            (
                {'kind': 'drain', 'drain': {'scope': 'vm', 'target': 'no'}},
                404,
                'GET /status',
            ),
            (
                {
                    'kind': 'shift',
                    'service': 'no',
                    'source_region': 'asturias',
                    'target_region': 'cantabria',
                    'cap_per_second': 1,
                },
                404,
                'GET /services',
            ),
            (
                {
                    'kind': 'shift',
                    'service': 'tariffs',
                    'source_region': 'asturias',
                    'target_region': 'asturias',
                    'cap_per_second': 1,
                },
                400,
                'name two',
            ),
            ({'kind': 'bringback', 'target': 'no'}, 404, 'GET /status'),
        ],
    )
    def test_wrong_intents(self, running, body, status, words):
        """Each mistake has its status, a remedy, and no effect."""
        before = running.operate('GET', '/v1/status')[1]['revision']
        found, problem = running.operate('POST', '/v1/intents', body)
        assert (found, words in problem['detail']) == (status, True)
        after = running.operate('GET', '/v1/status')[1]['revision']
        assert after == before

    def test_not_json(self, running):
        """A body that is not JSON is refused."""
        answer = HTTP.request(
            'POST',
            f'{running.operators_url()}/v1/intents',
            body=b'{',
            headers={'Authorization': 'Bearer demo-operator'},
        )
        assert answer.status == 400

    def test_bad_token(self, running):
        """A wrong token is refused."""
        answer = HTTP.request(
            'GET',
            f'{running.operators_url()}/v1/status',
            headers={'Authorization': 'Bearer wrong'},
        )
        assert answer.status == 401

    def test_outdated_plan(self, running):
        """Of two plans from one state, the second is a conflict."""
        body = {
            'kind': 'drain',
            'drain': {'scope': 'vm', 'target': 'surveys-1'},
        }
        _, first = running.operate('POST', '/v1/intents', body)
        _, second = running.operate('POST', '/v1/intents', body)
        path = '/v1/plans/{0}/confirm'
        status, _ = running.operate('POST', path.format(first['name']))
        assert status == 200
        status, problem = running.operate('POST', path.format(second['name']))
        assert status == 409
        assert 'state the intent again' in problem['detail']


class TestOperators:
    """Tokens carry roles."""

    def test_roles(self):
        """A viewer may read and not change."""
        viewer = OperatorSettings('v', OperatorRole.VIEWER, VIEWER_DIGEST)
        operators = OperatorAuthorizer((viewer,))
        header = 'Bearer viewer'
        assert operators.authorize(header, OperatorRole.VIEWER) == 'v'
        with pytest.raises(ForbiddenError):
            operators.authorize(header, OperatorRole.OPERATOR)
        with pytest.raises(AuthenticationError):
            operators.authorize('Bearer other', OperatorRole.VIEWER)


class TestSettings:
    """Settings files are checked as a whole."""

    def test_every_mistake_is_reported(self, settings_file, capsys, snapshot):
        """All mistakes come in one run, with found and expected values."""
        path = settings_file(
            '[vm]\nname = 3\nzone = "a"\n'
            '[listen]\ncallers = "localhost:1"\noperators = "10.0.0.1:8"\n'
            'peers = "127.0.0.1:0"\nspeakers = 1\n'
            '[platform]\nurl = "ftp://x"\ncalls_per_second = "5"\n'
            '[[operators]]\nname = "x"\nrole = "boss"\ntoken_sha256 = "z"\n',
        )
        assert main(['check-settings', path]) == ExitCode.USAGE
        assert capsys.readouterr().err == snapshot

    def test_not_toml(self, settings_file, capsys):
        """A file that is not TOML is named with the line."""
        path = settings_file('[vm')
        assert main(['check-settings', path]) == ExitCode.USAGE
        assert 'is not TOML' in capsys.readouterr().err

    def test_missing_file(self, capsys):
        """A file that cannot be read is named."""
        assert main(['check-settings', '/nonexistent']) == ExitCode.USAGE
        assert 'name a readable file' in capsys.readouterr().err

    def test_open_access_needs_tokens(self, settings_file, capsys):
        """Listening beyond loopback without tokens is refused."""
        text = listening(operators='0.0.0.0:8001')
        assert main(['check-settings', settings_file(text)]) == ExitCode.USAGE
        assert 'add an [[operators]] table' in capsys.readouterr().err

    @pytest.mark.parametrize('which', ['callers', 'operators', 'peers'])
    def test_address_in_use(self, settings_file, capsys, which):
        """An address in use is named with the remedy."""
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            path = settings_file(listening(**{which: address}))
            assert main(['entry', '--settings', path]) == ExitCode.UNREACHABLE
        told = capsys.readouterr().err
        assert 'stop the other process' in told
        assert address in told

    @pytest.mark.parametrize('name', ['entry', 'agency', 'utility'])
    def test_examples(self, name):
        """The examples have no mistakes."""
        path = f'examples/{name}.toml'
        assert main(['check-settings', path]) == ExitCode.DONE


class TestStart:
    """A deployment that cannot start leaves nothing behind."""

    def test_no_thread_stays(self, monkeypatch):
        """The error is that of the address, and the process can end."""
        before = set(threading.enumerate())
        with socket.create_server((LOOPBACK, 0)) as taken:
            port = taken.getsockname()[1]
            monkeypatch.setattr(
                'catkindrift.demo._deployment.free_ports',
                lambda count: [*free_ports(count - 1), port],
            )
            with pytest.raises(CannotListenError, match=str(port)):
                RunningDeployment()
        left = set(threading.enumerate()) - before
        # The loop's own pool ends with the process.
        assert all('asyncio' in each.name for each in left)
