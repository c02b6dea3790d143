"""Invalid input gets an error with a remedy and changes no state."""

import json
import socket

import pytest

from catkindrift.cli import ExitCode, main
from catkindrift.demo import LOOPBACK, free_ports
from catkindrift.entry_settings import OperatorRole, OperatorSettings
from catkindrift.errors import (
    AuthenticationError,
    ForbiddenError,
)
from catkindrift.operators import OperatorAuthorizer
from tests.deployment import HTTP

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


def format_settings(**addresses):
    """Return the text of settings with free ports, unless given."""
    kinds = ('callers', 'operators', 'peers')
    ports = free_ports(len(kinds))
    free = {
        kind: f'{LOOPBACK}:{port}'
        for kind, port in zip(kinds, ports, strict=True)
    }
    return SETTINGS.format(**{**free, **addresses})


@pytest.fixture
def settings_file(tmp_path):
    """Return a function that writes a settings file and returns its path."""

    def write(text):
        path = tmp_path / 'entry.toml'
        path.write_text(text)
        return str(path)

    return write


def send_raw(url, content):
    """Send bytes and return everything received until the close."""
    host, _, port = url.removeprefix('http://').partition(':')
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(content)
        received = b''
        chunk = connection.recv(65_536)
        while chunk:
            received += chunk
            chunk = connection.recv(65_536)
    return received


class TestCallers:
    """Invalid requests of callers are rejected before they run."""

    def test_ambiguous_framing(self, running):
        """Content-Length with Transfer-Encoding is rejected."""
        response = send_raw(
            running.callers_url(),
            b'POST /services/surveys/x HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'0\r\n\r\n',
        )
        assert response.startswith(b'HTTP/1.1 400')
        assert b'send one of them' in response

    def test_long_headers(self, running):
        """Headers over the size limit are rejected."""
        lines = ('GET /lookup HTTP/1.1', f'X: {"x" * 40_000}', '', '')
        request = '\r\n'.join(lines).encode()
        response = send_raw(running.callers_url(), request)
        assert response.startswith(b'HTTP/1.1 431')
        assert b'send fewer or shorter ones' in response

    @pytest.mark.parametrize('block', ['nonsense', '1.2.3', '10.0.0.0.0'])
    def test_lookup_of_no_address(self, running, block):
        """A lookup needs an IPv4 address or block."""
        url = f'{running.callers_url()}/lookup?block={block}'
        response = HTTP.request('GET', url)
        assert response.status == 400
        assert 'send ?block=IPv4' in json.loads(response.data)['detail']

    def test_missing_key(self, running):
        """A request that runs at most once needs an idempotency key."""
        url = f'{running.callers_url()}/services/reservations/r'
        response = HTTP.request('POST', url, body=b'x')
        assert response.status == 400
        assert 'Idempotency-Key' in json.loads(response.data)['detail']

    def test_repeated_key(self, running):
        """A repeated key replays the response, or fails for another body."""
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
        """A body over the limit of the service is rejected as not run."""
        url = f'{running.callers_url()}/services/tariffs/x'
        response = HTTP.request('POST', url, body=b'x' * 1_100_000)
        assert response.status == 413
        assert json.loads(response.data)['outcome'] == 'not_run'

    def test_malformed_timeout(self, running):
        """Request-Timeout must be a number of seconds."""
        url = f'{running.callers_url()}/services/tariffs/x'
        response = HTTP.request('GET', url, headers={'Request-Timeout': 'soon'})
        assert response.status == 400


class TestOperatorApi:
    """Invalid requests of operators change nothing."""

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
        """Each error has its status and a remedy, and changes nothing."""
        before = running.operate('GET', '/v1/status')[1]['revision']
        found, problem = running.operate('POST', '/v1/intents', body)
        assert (found, words in problem['detail']) == (status, True)
        after = running.operate('GET', '/v1/status')[1]['revision']
        assert after == before

    def test_not_json(self, running):
        """A body that is not JSON is rejected."""
        response = HTTP.request(
            'POST',
            f'{running.operators_url()}/v1/intents',
            body=b'{',
            headers={'Authorization': 'Bearer demo-operator'},
        )
        assert response.status == 400

    def test_bad_token(self, running):
        """A wrong token is rejected."""
        response = HTTP.request(
            'GET',
            f'{running.operators_url()}/v1/status',
            headers={'Authorization': 'Bearer wrong'},
        )
        assert response.status == 401

    def test_outdated_plan(self, running):
        """Of two plans based on one revision, the second conflicts."""
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
    """Each token has a role."""

    def test_roles(self):
        """A viewer may read but not change state."""
        viewer = OperatorSettings('v', OperatorRole.VIEWER, VIEWER_DIGEST)
        operators = OperatorAuthorizer((viewer,))
        header = 'Bearer viewer'
        assert operators.authorize(header, OperatorRole.VIEWER) == 'v'
        with pytest.raises(ForbiddenError):
            operators.authorize(header, OperatorRole.OPERATOR)
        with pytest.raises(AuthenticationError):
            operators.authorize('Bearer other', OperatorRole.VIEWER)


class TestSettings:
    """Settings files are validated; errors name the remedy."""

    def test_every_mistake_is_reported(self, settings_file, capsys, snapshot):
        """One check reports all mistakes with found and expected values."""
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
        """A file that is not TOML is reported as such."""
        path = settings_file('[vm')
        assert main(['check-settings', path]) == ExitCode.USAGE
        assert 'is not TOML' in capsys.readouterr().err

    def test_missing_file(self, capsys):
        """A file that cannot be read is reported with the remedy."""
        assert main(['check-settings', '/nonexistent']) == ExitCode.USAGE
        assert 'name a readable file' in capsys.readouterr().err

    def test_open_access_needs_tokens(self, settings_file, capsys):
        """Operator addresses beyond loopback require tokens."""
        text = format_settings(operators='0.0.0.0:8001')
        assert main(['check-settings', settings_file(text)]) == ExitCode.USAGE
        assert 'add an [[operators]] table' in capsys.readouterr().err

    @pytest.mark.parametrize('which', ['callers', 'operators', 'peers'])
    def test_address_in_use(self, settings_file, capsys, which):
        """An address in use is reported with the remedy."""
        with socket.create_server(('127.0.0.1', 0)) as taken:
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            path = settings_file(format_settings(**{which: address}))
            assert main(['entry', '--settings', path]) == ExitCode.UNREACHABLE
        stderr = capsys.readouterr().err
        assert 'stop the other process' in stderr
        assert address in stderr

    @pytest.mark.parametrize('name', ['entry', 'agency', 'utility'])
    def test_examples(self, name):
        """The example files are valid."""
        path = f'examples/{name}.toml'
        assert main(['check-settings', path]) == ExitCode.DONE
