"""What tells a request of the product's own interface from others."""

import asyncio

import pytest

from catkindrift.callers._service_request import read_service_request
from catkindrift.http1 import CallerRequest, RequestBody


class Silent:
    """A connection that nobody has to read from or write to."""

    def set_paused(self, reason, *, is_paused):
        """Read no more than what came."""

    def send_continue(self):
        """Ask nobody."""


def described(content=b'body', **fields):
    """Return what decisions know of a request."""
    is_chunked = fields.pop('is_chunked', False)
    body = RequestBody(Silent(), is_chunked, 0 if is_chunked else len(content))
    body.add_chunk(content)
    body.finish()
    values = {
        'method': b'POST',
        'target': b'/x',
        'path': '/x',
        'query': b'',
        'headers': [],
        'arrived_ms': 0,
        'caller': '10.0.0.1',
        **fields,
    }
    message = CallerRequest(body=body, **values)
    reading = read_service_request(message, 'tariffs', values['target'])
    return asyncio.run(reading).described(1)


LARGE = b'drone' * 100_000


@pytest.mark.parametrize(
    'fields',
    [
        {'method': b'PUT'},
        {'headers': [(b'X-Try', b'2'), (b'Idempotency-Key', b'k')]},
        {'is_chunked': True},
    ],
    ids=['method', 'headers', 'framing'],
)
@pytest.mark.parametrize('content', [b'', b'small', LARGE], ids=len)
def test_repeat_has_the_same_fingerprint(content, fields):
    """A repeat is known by caller, target and body."""
    first = described(content)
    assert described(content, **fields).fingerprint == first.fingerprint


@pytest.mark.parametrize(
    'fields',
    [
        {'caller': '10.0.0.2'},
        {'target': b'/y'},
        {'content': b'another large body' * 30_000},
        {'headers': [(b'Authorization', b'someone')]},
    ],
    ids=['caller', 'target', 'body', 'identity'],
)
@pytest.mark.parametrize('content', [b'', LARGE], ids=len)
def test_other_request_has_another_fingerprint(content, fields):
    """What one caller sends takes nothing from another."""
    first = described(content)
    other = described(**{'content': content, **fields})
    assert other.fingerprint != first.fingerprint


def test_key_stands_for_the_whole_request():
    """The same idempotency key with another method is another request."""
    first = described()
    assert described(method=b'PUT').content_digest != first.content_digest
