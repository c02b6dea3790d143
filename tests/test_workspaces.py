"""Keys, precedence and home regions of workspaces."""

import asyncio
import logging
from types import MappingProxyType

import pytest

from catkindrift.errors import ConfigurationEntryError
from catkindrift.platform import api_key, parse_configuration
from catkindrift.workspaces import (
    Denied,
    FixedShares,
    Granted,
    QuotaBounds,
    Unchecked,
    Workspace,
    WorkspaceTable,
    check_access,
    common_homes,
    key_digest,
)
from tests.platform_deployment import (
    SAFE,
    UNSAFE,
    ask,
    configuration,
    deployed,
    eventually,
    head,
    read_answer,
)
from tests.test_stranded_vms import cut_off, stranded

KEY = 'planted7qdqiqrh4jcda9rgy35i'
OTHER_KEY = 'eispuxsr7i427eya6u6s'
WORKSPACES = (
    ('dealers', {'api_keys': [KEY], 'priority': 1}),
    ('portals', {'api_keys': [OTHER_KEY], 'home_regions': ['cantabria']}),
)
OPEN = MappingProxyType({**SAFE, 'path_prefix': '/open/', 'anonymous': True})
KEYLESS = MappingProxyType({**SAFE, 'anonymous': True})
KEYED = MappingProxyType({**SAFE, 'path_prefix': '/keyed/'})


def run(test):
    return asyncio.run(test)


def bearer(key):
    return f'Authorization: Bearer {key}\r\n'


def table(*entries):
    known, mistakes = WorkspaceTable.build(entries)
    assert not mistakes
    return known


def mistakes_in(*workspaces):
    """Return the mistakes by which a configuration is refused."""
    document = configuration(1, (SAFE,), workspaces)
    try:
        parse_configuration(document)
    except ExceptionGroup as refused:
        return refused.exceptions
    return ()


def arrivals(deployment):
    return [
        headers
        for upstream in deployment.upstreams
        for _, headers, _ in upstream.requests
    ]


def test_no_workspaces_need_no_key():
    """A deployment without workspaces is served as before."""
    access = check_access(WorkspaceTable(), None, is_anonymous=False)
    assert access == Unchecked()


def test_key_names_its_workspace():
    dealers = Workspace('dealers')
    known = table((dealers, [KEY]), (Workspace('portals'), [OTHER_KEY]))
    digest = key_digest(KEY.encode())
    assert check_access(known, digest, is_anonymous=False) == Granted(dealers)


@pytest.mark.parametrize('key', [b'', b'unknown', KEY.encode()[:-1]])
def test_unknown_key_is_denied(key):
    known = table((Workspace('dealers'), [KEY]))
    digest = key_digest(key) if key else None
    assert check_access(known, digest, is_anonymous=False) == Denied()
    assert check_access(known, digest, is_anonymous=True) == Granted(None)


def test_workspace_that_lost_all_keys_is_denied():
    """Guard against an empty list of keys that counts as no workspaces."""
    known = table((Workspace('dealers'), []))
    digest = key_digest(KEY.encode())
    assert check_access(known, digest, is_anonymous=False) == Denied()


@pytest.mark.parametrize(
    'stated',
    [
        (b'Bearer',),
        (b'Bearer ',),
        (b'Basic dXNlcjpwYXNz',),
        (KEY.encode(),),
        (b'Bearer a b',),
        (b'Bearer \xff\xfe',),
        (b'Bearer %b' % bytes(65_536),),
        (b'Bearer one', b'Bearer two'),
        (),
    ],
)
def test_malformed_credentials_hold_no_key(stated):
    assert api_key([(b'Authorization', each) for each in stated]) == b''


def test_scheme_of_credentials_has_any_case():
    """RFC 9110, section 11.1: names of schemes ignore case."""
    assert api_key([(b'authorization', b'bearer abc')]) == b'abc'


def test_one_key_in_two_workspaces_is_refused():
    mistakes = mistakes_in(
        ('dealers', {'api_keys': [KEY]}), ('portals', {'api_keys': [KEY]})
    )
    assert len(mistakes) == 1
    mistake = mistakes[0]
    assert isinstance(mistake, ConfigurationEntryError)
    assert 'portals' in mistake.place
    assert KEY not in str(mistake)


def test_every_mistake_is_named():
    """Guard against operators who find one mistake after the other."""
    mistakes = mistakes_in(
        ('', {'api_keys': []}),
        ('slow', {'api_keys': [], 'rate_per_s': -1}),
        ('small', {'api_keys': [], 'burst': -1}),
        ('typed', {'api_keys': [7]}),
        ('twice', {'api_keys': []}),
        ('twice', {'api_keys': []}),
    )
    assert [each.place for each in mistakes] == [
        "tenants ''",
        "tenants 'slow'",
        "tenants 'small'",
        "tenants 'typed'",
        'workspace twice',
    ]


@pytest.mark.parametrize(
    ('of_route', 'of_workspace', 'common'),
    [
        ('', '', None),
        ('a', '', {'a'}),
        ('', 'a', {'a'}),
        ('ab', 'bc', {'b'}),
        ('a', 'b', set()),
    ],
)
def test_home_regions_of_route_and_workspace_bind_together(
    of_route, of_workspace, common
):
    assert common_homes(frozenset(of_route), frozenset(of_workspace)) == common


def test_upstream_gets_the_name_and_never_the_key(tmp_path, caplog, capsys):
    """UNASKED: whatever a caller sends, an upstream gets what the key says."""
    caplog.set_level(logging.DEBUG)

    async def scenario():
        async with deployed(
            tmp_path, routes=(SAFE, UNSAFE, OPEN), workspaces=WORKSPACES
        ) as deployment:
            forged = f'{bearer(KEY)}tenant: forged\r\n'
            address = deployment.address()
            status, _, _ = await ask(address, head('/safe/1', extra=forged))
            assert status == 200
            forged = 'Tenant: forged\r\n'
            await ask(address, head('/open/2', attempt='a2', extra=forged))
            await ask(address, head('/safe/3', extra=bearer('unknown')))
            metrics = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
            port = deployment.fields[0]['internal_ports'][1]
            _, _, page = await ask(('127.0.0.1', port), metrics)
            assert KEY.encode() not in page
            return arrivals(deployment)

    served, anonymous = run(scenario())
    assert served[b'tenant'] == b'dealers'
    assert b'tenant' not in anonymous
    sent = b'%r' % [served, anonymous]
    assert KEY.encode() not in sent
    assert b'authorization' not in sent
    printed = caplog.text + ''.join(capsys.readouterr())
    assert KEY not in printed


def test_request_without_workspaces_is_forwarded_unchanged(tmp_path):
    """Earlier deployments see the same bytes as before."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            extra = f'{bearer(KEY)}Tenant: mine\r\n'
            await ask(deployment.address(), head('/safe/1', extra=extra))
            headers = arrivals(deployment)[0]
            assert (
                headers[b'authorization'] == bearer(KEY)[15:-2].lower().encode()
            )
            assert headers[b'tenant'] == b'mine'

    run(scenario())


def test_refused_key_leaves_the_connection_open(tmp_path):
    """A 401 costs the caller only the request that it answers."""

    async def scenario():
        async with deployed(tmp_path, workspaces=WORKSPACES) as deployment:
            reader, writer = await asyncio.open_connection(
                *deployment.address()
            )
            statuses = []
            for extra in (bearer('unknown'), '', bearer(KEY)):
                writer.write(head('/safe/1', extra=extra))
                status, _, _ = await read_answer(reader)
                statuses.append(status)
            writer.close()
            assert statuses == [401, 401, 200]

    run(scenario())


def test_withdrawn_key_is_refused_on_a_kept_connection(tmp_path):
    """CONFIG: a dropped key ends with the configuration that held it."""

    async def scenario():
        async with deployed(tmp_path, workspaces=WORKSPACES) as deployment:
            reader, writer = await asyncio.open_connection(
                *deployment.address()
            )
            writer.write(head('/safe/1', extra=bearer(KEY)))
            assert (await read_answer(reader))[0] == 200
            without = (('dealers', {'api_keys': []}), WORKSPACES[1])
            await deployment.configure(2, (SAFE,), workspaces=without)
            state = deployment.gateways[0]._parts.state
            await eventually(lambda: state.configuration.version == 2)
            writer.write(head('/safe/2', extra=bearer(KEY)))
            assert (await read_answer(reader))[0] == 401
            writer.close()

    run(scenario())


def test_workspace_is_not_served_outside_its_homes(tmp_path):
    """HOME: homes of a workspace bind as those of a route do."""

    async def scenario():
        async with deployed(tmp_path, workspaces=WORKSPACES) as deployment:
            status, _, _ = await ask(
                deployment.address(), head('/safe/1', extra=bearer(OTHER_KEY))
            )
            assert status == 503
            assert not arrivals(deployment)

    run(scenario())


def test_key_is_not_handed_over(tmp_path):
    """Another entry VM gets the digest, and serves for the workspace."""

    async def scenario():
        async with stranded(
            tmp_path,
            'refuse',
            routes=(KEYLESS, KEYED),
            workspaces=WORKSPACES,
        ) as (deployment, _):
            await cut_off(deployment)
            status, _, _ = await ask(
                deployment.address(), head('/keyed/x', extra=bearer(KEY))
            )
            assert status == 200
            headers = arrivals(deployment)[-1]
            assert headers[b'tenant'] == b'dealers'
            assert b'catkindrift-key-digest' not in headers
            status, _, _ = await ask(
                deployment.address(), head('/keyed/x', extra=bearer('unknown'))
            )
            assert status == 401

    run(scenario())


@pytest.mark.parametrize('count', [33, 87, 195])
def test_fixed_shares_sum_to_the_limit(count):
    """QUOTA: no window exceeds the limit, whichever VMs hear each other."""
    workspace = Workspace('w', rate_per_s=400, burst=400)
    bounds = QuotaBounds()
    vms = [FixedShares() for _ in range(count)]
    admitted = [
        now_ms
        for now_ms in range(0, 20_000, 50)
        for vm in vms
        if vm.try_admit(workspace, bounds, count, now_ms) == 0
    ]
    for start_ms in range(0, 15_000, 250):
        end_ms = start_ms + bounds.window_ms
        window = [each for each in admitted if start_ms <= each < end_ms]
        assert len(window) <= bounds.ceiling(workspace)


def test_small_quota_of_a_large_fleet_refuses_nothing():
    """A share of less than a request may not refuse what is owed."""
    workspace = Workspace('w', rate_per_s=2, burst=2)
    shares = FixedShares()
    waits = [
        shares.try_admit(workspace, QuotaBounds(), 87, 0) for _ in range(5)
    ]
    assert not any(waits)
