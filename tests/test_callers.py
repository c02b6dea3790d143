"""Tests of the system's own interface to callers, at the byte level."""

import hashlib
import json
import time

import pytest

from tests.deployment import HTTP

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd'
REFUSED = (
    b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n'
    b'Catkindrift-Outcome: not_run\r\nConnection: close\r\n\r\n'
)
NO_CONTENT = b'HTTP/1.1 204 No Content\r\n\r\n'


def receive_until(connection, end):
    """Return the bytes received up to and including `end`."""
    received = b''
    while not received.endswith(end):
        chunk = connection.recv(65_536)
        assert chunk, received
        received += chunk
    return received


def wait_until(condition, seconds=5):
    """Poll until a condition holds; fail after a timeout."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def request(path, method='GET', extra=''):
    """Return the encoded head of a request."""
    return f'{method} {path} HTTP/1.1\r\nHost: x\r\n{extra}\r\n'.encode()


def test_caller_who_leaves_cancels_the_work(connect, serve):
    """If the caller disconnects, the upstream's connection is closed."""
    upstream, _ = serve('left', WHOLE, delay=1)
    connection = connect()
    connection.sendall(request('/services/left/x'))
    wait_until(lambda: upstream.requests)
    connection.close()
    wait_until(lambda: upstream.aborted_requests == 1)


def test_waiting_request_of_a_caller_who_left_is_withdrawn(
    running, connect, serve
):
    """A queued request is dropped when its caller disconnects.

    Without this, it would occupy the queue and later run at an upstream.
    """
    upstream, _ = serve('queued', WHOLE, delay=0.6)
    core = running.local.entry_vms['entry-asturias-1-1'].core
    state = core.state.upstreams.get('queued-1')
    callers = [connect() for _ in range(8)]
    for connection in callers:
        connection.sendall(request('/services/queued/x'))
    wait_until(lambda: core.state.queues.get('queued'))
    assert state.in_flight > 0
    for connection in callers:
        connection.close()
    wait_until(lambda: not core.state.queues.get('queued'))
    wait_until(lambda: not state.in_flight)
    assert len(upstream.requests) < 8


def test_requests_sent_ahead_are_answered_in_order(connect, serve):
    """Pipelined requests get their responses in order of the requests."""
    serve('slow', WHOLE, delay=0.5)
    serve('fast', WHOLE.replace(b'abcd', b'wxyz'))
    connection = connect()
    connection.sendall(
        request('/services/slow/x') + request('/services/fast/x')
    )
    received = receive_until(connection, b'wxyz')
    assert received.index(b'abcd') < received.index(b'wxyz')


def test_target_is_passed_on_as_it_came(connect, serve):
    """Percent-encoding in path and query is forwarded unchanged."""
    upstream, _ = serve('escaped', WHOLE)
    connection = connect()
    connection.sendall(request('/services/escaped/a%2Fb?c=%20d'))
    receive_until(connection, b'abcd')
    assert upstream.requests[0].startswith(b'GET /a%2Fb?c=%20d HTTP/1.1\r\n')


OPTIONS = (
    'Connection: Content-Length\r\n',
    'Connection: keep-alive\r\nconnection: ,IDEMPOTENCY-key \r\n',
    'Connection: host, close\r\n',
    'Connection: Request-Timeout\r\n',
)


@pytest.mark.parametrize('options', OPTIONS)
def test_header_for_all_recipients_is_never_removed(connect, serve, options):
    """The body would run as a request, or the upload would be lost."""
    name = f'named-{OPTIONS.index(options)}'
    upstream, _ = serve(name, WHOLE, until=b'abc')
    extra = (
        f'{options}Idempotency-Key: {name}\r\nContent-Length: 3\r\n'
        'Cookie: a=b\r\n'
    )
    connection = connect()
    connection.sendall(request(f'/services/{name}/x', 'POST', extra))
    connection.sendall(b'abc')
    assert receive_until(connection, b'abcd').startswith(b'HTTP/1.1 200')
    assert len(upstream.requests) == 1
    first, _, body = upstream.requests[0].partition(b'\r\n\r\n')
    assert (first.split(b' ')[:2], body) == ([b'POST', b'/x'], b'abc')
    lines = first.lower().split(b'\r\n')
    for line in (
        b'host: x',
        f'idempotency-key: {name}'.encode(),
        b'content-length: 3',
        b'cookie: a=b',
    ):
        assert lines.count(line) == 1, line


def test_proper_options_are_obeyed(connect, serve):
    """Private headers that Connection names end there, others don't."""
    upstream, _ = serve(
        'obeyed',
        WHOLE.replace(
            b'\r\n',
            b'\r\nX-Theirs: 1\r\nConnection: keep-alive\r\n'
            b'Connection: X-Theirs, Retry-After\r\nRetry-After: 7\r\n',
            1,
        ),
    )
    extra = 'Connection: close\r\nX-Mine: 1\r\nX: 2\r\nConnection: x-mine\r\n'
    connection = connect()
    connection.sendall(request('/services/obeyed/x', extra=extra))
    received = receive_until(connection, b'abcd')
    assert b'Retry-After: 7' in received
    assert b'X-Theirs' not in received
    assert b'X-Mine' not in upstream.requests[0]
    assert b'X: 2' in upstream.requests[0]


def test_body_is_invited_before_it_is_sent(connect):
    """A caller that sends `Expect: 100-continue` gets `100 Continue`."""
    connection = connect()
    extra = 'Expect: 100-continue\r\nContent-Length: 5\r\n'
    connection.sendall(request('/services/surveys/x', 'POST', extra))
    assert receive_until(connection, b'\r\n\r\n') == (
        b'HTTP/1.1 100 Continue\r\n\r\n'
    )
    connection.sendall(b'drone')
    digest = hashlib.sha256(b'drone').hexdigest().encode()
    received = receive_until(connection, b'}')
    assert received.startswith(b'HTTP/1.1 200')
    assert digest in received


def test_refused_body_is_never_invited(connect):
    """A body that is too large is refused without `100 Continue`."""
    connection = connect()
    extra = 'Expect: 100-continue\r\nContent-Length: 5000000\r\n'
    connection.sendall(request('/services/tariffs/x', 'POST', extra))
    received = receive_until(connection, b'}')
    assert received.startswith(b'HTTP/1.1 413')
    assert b'Connection: close' in received


def test_chunked_body_over_the_limit(running, serve):
    """A chunked body is refused once it exceeds the limit."""
    upstream, url = serve('limited', WHOLE, delay=3)
    chunk = bytes(100_000)
    response = HTTP.request('POST', url, body=(chunk for _ in range(15)))
    assert response.status == 413
    assert json.loads(response.data)['outcome'] == 'unknown'
    # The response may arrive before the upstream's thread has run.
    wait_until(lambda: upstream.connections)
    assert upstream.connections == 1


def test_small_upload_is_sent_again_after_a_refusal(running, serve):
    """After a refusal, a buffered chunked body is resent completely."""
    for _ in range(12):
        url = f'{running.callers_url()}/services/tariffs/x'
        assert HTTP.request('GET', url).status == 200
    upstreams = [
        serve('again', REFUSED, vm=vm, until=b'0\r\n\r\n')[0]
        for vm in ('again-1', 'again-2')
    ]
    url = f'{running.callers_url()}/services/again/x'
    response = HTTP.request('POST', url, body=iter([b'abc', b'def']))
    assert response.status == 503
    for upstream in upstreams:
        assert [b'abc' in each for each in upstream.requests] == [True]
        assert [b'def' in each for each in upstream.requests] == [True]


def test_answer_without_body(connect, serve):
    """A 204 has no framing headers, and the connection stays open."""
    serve('empty', NO_CONTENT)
    connection = connect()
    connection.sendall(request('/services/empty/x', 'DELETE'))
    received = receive_until(connection, b'\r\n\r\n')
    assert received.startswith(b'HTTP/1.1 204')
    assert b'Content-Length' not in received
    assert b'Transfer-Encoding' not in received
    connection.sendall(request('/lookup?block=10.21.0.0/24'))
    assert b'cantabria-1' in receive_until(connection, b'}')
