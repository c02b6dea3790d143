"""Callers get a complete response to their own request, or an error.

Guards against truncated responses that look complete, and against responses
to other requests on a reused connection.
"""

import json
import time

import pytest
import urllib3

from tests.deployment import HTTP

COMPLETE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd'
SHORT_BODY = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabcd'
UNDELIMITED = b'HTTP/1.1 200 OK\r\n\r\nabcd'
SHORT_CHUNK = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab'
REFUSED = (
    b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n'
    b'Catkindrift-Outcome: not_run\r\nConnection: close\r\n\r\n'
)


class TestWholeAnswers:
    """A broken response never looks complete to the caller."""

    @pytest.mark.parametrize(
        ('name', 'response'),
        [('short', SHORT_BODY), ('chunk', SHORT_CHUNK)],
    )
    def test_short_body_is_visible(self, serve, name, response):
        """A truncated body aborts the connection of the caller."""
        _, url = serve(name, response)
        with pytest.raises(urllib3.exceptions.HTTPError):
            HTTP.request('GET', url)

    def test_answer_without_end_is_refused(self, serve):
        """A body that only the close delimits is not forwarded."""
        _, url = serve('endless', UNDELIMITED)
        response = HTTP.request('POST', url, body=b'x')
        assert response.status == 502
        assert json.loads(response.data)['outcome'] == 'unknown'

    def test_surplus_bytes_reach_nobody(self, serve):
        """A connection with bytes after the response is not reused."""
        upstream, url = serve('surplus', COMPLETE + COMPLETE, is_kept_open=True)
        for _ in range(3):
            assert HTTP.request('GET', url).data == b'abcd'
        assert upstream.connections == 3

    def test_late_answer_reaches_nobody(self, serve):
        """After the deadline the connection is closed, not reused."""
        upstream, url = serve('late', COMPLETE, delay=1, is_kept_open=True)
        started = time.monotonic()
        late = HTTP.request('POST', url, headers={'Request-Timeout': '0.3'})
        assert late.status == 504
        assert json.loads(late.data)['outcome'] == 'unknown'
        assert time.monotonic() - started < 1
        assert HTTP.request('POST', url, body=b'x').data == b'abcd'
        assert upstream.connections == 2


class TestNotRun:
    """The outcome is `not_run` only if the request cannot have run."""

    def test_refusal_of_the_upstream(self, serve):
        """A refusal by the upstream has the outcome `not_run`."""
        _, url = serve('refusing', REFUSED)
        response = HTTP.request('POST', url, body=b'x')
        assert response.status == 503
        assert json.loads(response.data)['outcome'] == 'not_run'
        assert int(response.headers['Retry-After']) > 0

    def test_reset_before_the_answer(self, serve):
        """A close before the response leaves the outcome unknown."""
        _, url = serve('closing', b'')
        response = HTTP.request('POST', url, body=b'x')
        assert response.status == 502
        assert json.loads(response.data)['outcome'] == 'unknown'

    def test_connection_refused(self, serve):
        """A refused connection means that the request did not run."""
        upstream, url = serve('gone', COMPLETE)
        upstream.stop()
        response = HTTP.request('POST', url, body=b'x')
        assert response.status == 502
        assert json.loads(response.data)['outcome'] == 'not_run'
