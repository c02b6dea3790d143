"""The check of a configuration before it is sent."""

import json

import pytest

from catkindrift.cli import main
from tests.platform_deployment import SAFE, UNSAFE, configuration

KEY = 'planted7qdqiqrh4jcda9rgy35i'


def write(folder, document, name='new.json'):
    path = folder / name
    path.write_text(json.dumps(document))
    return str(path)


def check(folder, document, *options):
    """Return the exit code of a check."""
    return main(['check-configuration', write(folder, document), *options])


def changed(document, kind, **fields):
    """Return a document with other fields in all entries of a kind."""
    return {
        **document,
        'resources': [
            {**each, 'spec': {**each['spec'], **fields}}
            if each['entry_kind'] == kind
            else each
            for each in document['resources']
        ],
    }


def test_sound_configuration_has_no_mistakes(tmp_path, capsys):
    assert check(tmp_path, configuration(1, (SAFE, UNSAFE))) == 0
    assert capsys.readouterr().out == 'no mistakes\n'


def test_all_mistakes_are_named_at_once(tmp_path, capsys):
    """Guard against operators who find one mistake after the other."""
    document = configuration(
        1,
        (SAFE, {**SAFE, 'timeout_s': 0}),
        (('a', {'api_keys': [KEY]}), ('b', {'api_keys': [KEY], 'burst': -1})),
    )
    assert check(tmp_path, document) == 2
    printed = capsys.readouterr().out
    assert printed.count('error: ') == 2
    assert 'route-1' in printed
    assert "tenants 'b'" in printed
    assert KEY not in printed


@pytest.mark.parametrize(
    ('fields', 'message'),
    [
        ({'routes': {'slo_latency_s': 9}}, 'latency objective of 9000 ms'),
        ({'routes': {'service': 'other'}}, 'service other: is the target'),
        ({'routes': {'service': 'other'}}, 'service tariffs: gets no requests'),
        (
            {'routes': {'split': [{'service': 'tariffs', 'weight': 0}]}},
            'weights of its services sum to 0',
        ),
        ({'services': {'cold_per_s': 101}}, 'more than its 100 connections'),
        ({'tenants': {'api_keys': []}}, 'has no API keys'),
        ({'tenants': {'burst': 5}}, 'no effect without a rate'),
        ({'tenants': {'rate_per_s': 2, 'burst': 5}}, 'is under its burst'),
        (
            {
                'tenants': {'home_regions': ['a']},
                'routes': {'home_regions': ['b']},
            },
            'which refuse its requests: route-0',
        ),
    ],
)
def test_contradictions_are_named(tmp_path, capsys, fields, message):
    """Each contradiction is a warning, as entry VMs take it as it stands."""
    document = configuration(1, (SAFE,), (('a', {'api_keys': [KEY]}),))
    if 'split' in fields.get('routes', {}):
        document = changed(document, 'routes', service='')
    for kind, changes in fields.items():
        document = changed(document, kind, **changes)
    assert check(tmp_path, document) == 1
    assert message in capsys.readouterr().out


def test_hidden_route_is_named(tmp_path, capsys):
    """Of two equal routes the first one gets all requests."""
    assert check(tmp_path, configuration(1, (SAFE, SAFE))) == 1
    assert 'route route-1: never matches' in capsys.readouterr().out


def test_differences_are_told_without_keys(tmp_path, capsys):
    before = configuration(1, (SAFE,), (('a', {'api_keys': [KEY]}),))
    after = configuration(
        2,
        ({**SAFE, 'timeout_s': 3}, UNSAFE),
        (('a', {'api_keys': ['other-key']}),),
    )
    before_path = write(tmp_path, before, 'old.json')
    assert check(tmp_path, after, '--against', before_path) == 0
    printed = capsys.readouterr().out
    assert 'changed: route route-0: timeout_ms from 2000 to 3000' in printed
    assert 'added: route route-1: requests that match it are served' in printed
    assert printed.count('of workspace a: requests with it') == 2
    assert KEY not in printed
    assert 'other-key' not in printed


def test_result_can_be_read_by_programs(tmp_path, capsys):
    check(tmp_path, configuration(1, (SAFE, SAFE)), '--json')
    report = json.loads(capsys.readouterr().out)
    assert [each['severity'] for each in report['findings']] == ['warning']
    assert not report['differences']


def test_own_format_is_checked_too(tmp_path, capsys):
    """The product's own configuration has no list of resources."""
    shift = {
        'name': 's',
        'service': 'gone',
        'source_region': 'a',
        'target_region': 'b',
        'percent': 5,
        'cap_per_second': 0,
    }
    document = {'services': [{'name': 'tariffs'}], 'shifts': [shift]}
    assert check(tmp_path, document) == 1
    printed = capsys.readouterr().out
    assert 'there is no service gone' in printed
    assert 'under a cap of 0' in printed
    assert check(tmp_path, {'services': [{'name': 'Bad Name'}]}) == 2


@pytest.mark.parametrize('text', ['', '{', '[1'])
def test_unreadable_file_is_named(tmp_path, capsys, text):
    path = tmp_path / 'bad.json'
    path.write_text(text)
    assert main(['check-configuration', str(path)]) == 2
    assert 'is not JSON' in capsys.readouterr().err
