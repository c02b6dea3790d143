"""Entries of the platform's store that can't be read, beside others."""

import asyncio
import contextlib
import json
import logging
from types import MappingProxyType

import pytest
from hypothesis import given, strategies as st

from catkindrift.clock import ManualClock
from catkindrift.errors import PlatformUnavailableError
from catkindrift.gateway._missing_entries import MissingEntries
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.http1 import HttpServer, Response
from catkindrift.platform import StoreClient
from catkindrift.steering import UpstreamRegistry
from tests.platform_deployment import ZONES, free_port

KIND = 'servers'
BACKSLASH = bytes([92])
# JSON of a value that can't be read, by what is wrong with it.
UNREADABLE = MappingProxyType(
    {
        'half of a surrogate pair': b'"ovd-%bud83d"' % BACKSLASH,
        'bytes that are no UTF-8': b'"\xff"',
        'unknown escape': rb'"]\q\"}"',
        'control character': b'"\x01"',
        'number out of range': b'1e999',
        'no number': b'NaN',
        'half a word': b'tru',
        'colon missing': b'{"a" 1}',
        'nested too deeply': b'[' * 9000 + b']' * 9000,
    }
)


def document(name, revision, zone=b'"ovd-a"', finalizers=b''):
    return (
        b'{"metadata":{"finalizers":[%b],"name":%b,"revision":%d},"spec":'
        b'{"address":"10.0.0.1:80","info":{"service":"tariffs","zone":%b,'
        b'"version":"v1","slots":4},"status":{"state":"ready","seq_no":1,'
        b'"cold_left_s":0}},"status":null}'
    ) % (finalizers, name, revision, zone)


def listed(*documents):
    joined = b', '.join(documents)
    return b'{"items": [%b],"has_more":false,"current_rev":9}' % joined


def changes(*documents):
    events = (b'{"deleted":false,"object":%b}' % each for each in documents)
    return b'{"current_rev":9, "events":[%b]}' % b','.join(events)


def ask(call, *contents):
    """Return what `call` gets of a store that sends `contents` in turn."""

    async def scenario():
        left = list(contents)

        async def respond(_):
            return Response(200, [], left.pop(0))

        server = HttpServer(ManualClock(0), respond)
        port = free_port()
        await server.start('127.0.0.1', port)
        client = StoreClient('127.0.0.1', port)
        with contextlib.ExitStack() as stack:
            stack.callback(server.close)
            stack.callback(client.close_idle)
            return client, [await call(client) for _ in contents]

    return asyncio.run(scenario())


def list_page(client):
    return client.list_page(KIND, '', 2)


def watch(client):
    return client.watch(KIND, 1, 100, 2, lambda: None)


def used(state):
    return {
        each.upstream.id
        for each in state.registry.states
        if state.registry.is_eligible(each)
    }


def empty_state():
    clock = ManualClock(0)
    missing = MissingEntries(clock, StoreHealth(clock))
    return PlatformState(UpstreamRegistry(clock), ZONES, missing)


@pytest.mark.parametrize('bad', UNREADABLE.values(), ids=UNREADABLE)
@pytest.mark.parametrize('place', ['zone', 'finalizers'])
@pytest.mark.parametrize(
    ('call', 'page'), [(list_page, listed), (watch, changes)]
)
def test_unreadable_entry_hides_no_other(bad, place, call, page):
    """The others arrive; the entry keeps its name and has no content.

    One such entry hid all others of its page, at each call.
    """
    content = page(
        document(b'"a"', 3),
        document(b'"b"', 4, **{place: bad}),
        document(b'"c"', 5),
    )
    client, (found,) = ask(call, content)
    assert [each.name for each in found.objects] == ['a', 'b', 'c']
    assert found.objects[1].spec is None
    assert found.objects[1].revision == 4
    assert found.revision == 9
    assert client.unreadable.counts == {KIND: 1}
    state = empty_state()
    state.replace_upstreams(found.objects)
    assert used(state) == {'a', 'c'}


@pytest.mark.parametrize(
    ('call', 'page'), [(list_page, listed), (watch, changes)]
)
@pytest.mark.parametrize(
    'bad',
    [b'"%bud83d"' % BACKSLASH, b'7', b'"a', b'null', b'', b'"a","name":1'],
)
def test_entry_without_a_readable_name_is_left_out(call, page, bad):
    """Nothing can be kept of it; the others arrive."""
    damaged = b'{"metadata":{"name":%b,"revision":2},"spec":NaN}' % bad
    if bad == b'"a':
        damaged = b'[NaN]'
    content = page(document(b'"a"', 3), damaged, document(b'"c"', 5))
    client, (found,) = ask(call, content)
    assert [each.name for each in found.objects] == ['a', 'c']
    assert client.unreadable.counts == {KIND: 1}


def test_unreadable_deletion_is_a_deletion():
    """An entry that goes is gone, whatever it held."""
    stored = document(b'"a"', 3, b'NaN')
    content = (
        b'{"events":[{"object":%b,"deleted":true}],"current_rev":4}' % stored
    )
    found = ask(watch, content)[1][0]
    assert found.objects[0].is_deleted


def test_unreadable_entry_stops_requests_until_a_good_one(caplog):
    """It is logged once with its name, and ends with a newer entry."""
    bad = changes(document(b'"a"', 3, b'NaN'))
    good = changes(document(b'"a"', 4))
    state = empty_state()
    state.replace_upstreams(
        ask(list_page, listed(document(b'"a"', 2)))[1][0].objects
    )
    with caplog.at_level(logging.WARNING):
        client, (first, second, last) = ask(watch, bad, bad, good)
    lines = [each for each in caplog.messages if 'can not be read' in each]
    assert len(lines) == 1
    assert 'entry a of servers at revision 3' in lines[0]
    assert client.unreadable.counts == {KIND: 2}
    for page, expected in ((first, set()), (second, set()), (last, {'a'})):
        state.apply_upstream(page.objects[0])
        assert used(state) == expected


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'[NaN]',
        b'{"items":[',
        b'{"items":[{}],"current_rev":NaN}',
        b'{NaN}',
        b'{"items":[]',
        b'\xff',
        b'{"items":[],"current_rev":%b}' % UNREADABLE['nested too deeply'],
    ],
)
def test_page_that_is_damaged_itself_is_no_response(content):
    """Nothing is taken from a page whose end or revision can't be read."""
    with pytest.raises(PlatformUnavailableError):
        ask(list_page, content)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(alphabet=st.characters(codec='utf-8'), max_size=5)
    | st.sampled_from(['ready', '[', '}', '"', '\\', ',']),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)
VALUES = st.one_of(
    st.sampled_from(sorted(UNREADABLE.values(), key=len)[:-1]),
    JSON.map(lambda value: json.dumps(value).encode()),
)


@given(
    st.lists(VALUES, max_size=3),
    st.sampled_from(['zone', 'finalizers']),
    st.sampled_from([(list_page, listed), (watch, changes)]),
)
def test_any_value_of_an_entry_leaves_the_others(values, place, way):
    """Whatever entries hold, the others of their page are used."""
    call, page = way
    mutated = [
        document(b'"m-%d"' % index, 3, **{place: value})
        for index, value in enumerate(values)
    ]
    content = page(document(b'"a"', 2), *mutated, document(b'"c"', 4))
    found = ask(call, content)[1][0]
    assert [each.name for each in found.objects] == [
        'a',
        *(f'm-{index}' for index in range(len(values))),
        'c',
    ]
    state = empty_state()
    for each in found.objects:
        state.apply_upstream(each)
    assert {'a', 'c'} <= used(state)
