"""Callers get the whole answer to their own request, or a visible break."""

import json
import time

import pytest
import urllib3

from tests.deployment import HTTP

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd'
SHORT = b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabcd'
ENDLESS = b'HTTP/1.1 200 OK\r\n\r\nabcd'
SHORT_CHUNK = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nab'
REFUSED = (
    b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n'
    b'Catkindrift-Outcome: not_run\r\nConnection: close\r\n\r\n'
)


class TestWholeAnswers:
    """Broken answers are never shown as complete ones."""

    @pytest.mark.parametrize(
        ('name', 'answer'),
        [('short', SHORT), ('chunk', SHORT_CHUNK)],
    )
    def test_short_body_is_visible(self, serve, name, answer):
        """A body that ends early breaks the caller's connection."""
        _, url = serve(name, answer)
        with pytest.raises(urllib3.exceptions.HTTPError):
            HTTP.request('GET', url)

    def test_answer_without_end_is_refused(self, serve):
        """A body whose end nobody can tell is not passed on."""
        _, url = serve('endless', ENDLESS)
        answer = HTTP.request('POST', url, body=b'x')
        assert answer.status == 502
        assert json.loads(answer.data)['outcome'] == 'unknown'

    def test_surplus_bytes_reach_nobody(self, serve):
        """A connection with surplus bytes is not used again."""
        upstream, url = serve('surplus', WHOLE + WHOLE, is_kept_open=True)
        for _ in range(3):
            assert HTTP.request('GET', url).data == b'abcd'
        assert upstream.connections == 3

    def test_late_answer_reaches_nobody(self, serve):
        """After a deadline the connection is dropped with its answer."""
        upstream, url = serve('late', WHOLE, delay=1, is_kept_open=True)
        started = time.monotonic()
        late = HTTP.request('POST', url, headers={'Request-Timeout': '0.3'})
        assert late.status == 504
        assert json.loads(late.data)['outcome'] == 'unknown'
        assert time.monotonic() - started < 1
        assert HTTP.request('POST', url, body=b'x').data == b'abcd'
        assert upstream.connections == 2


class TestNotRun:
    """Callers are told "not run" only when that is sure."""

    def test_refusal_of_the_upstream(self, serve):
        """An upstream's own refusal is passed on as not run."""
        _, url = serve('refusing', REFUSED)
        answer = HTTP.request('POST', url, body=b'x')
        assert answer.status == 503
        assert json.loads(answer.data)['outcome'] == 'not_run'
        assert int(answer.headers['Retry-After']) > 0

    def test_reset_before_the_answer(self, serve):
        """A connection that closes before an answer leaves it unknown."""
        _, url = serve('closing', b'')
        answer = HTTP.request('POST', url, body=b'x')
        assert answer.status == 502
        assert json.loads(answer.data)['outcome'] == 'unknown'

    def test_connection_refused(self, serve):
        """An upstream that takes no connection has run nothing."""
        upstream, url = serve('gone', WHOLE)
        upstream.stop()
        answer = HTTP.request('POST', url, body=b'x')
        assert answer.status == 502
        assert json.loads(answer.data)['outcome'] == 'not_run'
