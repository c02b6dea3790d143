"""Settings of an entry VM: template, validation, process and reload."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import attrs
import pytest

from catkindrift.gateway import Gateway
from catkindrift.gateway._settings_file import SettingsFile
from catkindrift.settings import load_gateway_settings
from tests.platform_deployment import TEMPLATE, platform_fields, render

ROOT = Path(__file__).parents[1]


def write(folder, **changes):
    fields = {**platform_fields('front-1', 'ovd-a', 8642), **changes}
    path = folder / 'settings.toml'
    path.write_text(render(TEMPLATE.read_text(), fields))
    return path


def test_template_yields_valid_settings(tmp_path):
    """The template rendered with the platform's fields loads without errors."""
    settings = load_gateway_settings(write(tmp_path))
    assert settings.vm.name == 'front-1'
    assert settings.zones['snt-a'] == 'cantabria'
    assert settings.bounds.retry_slack == 64


def test_missing_bounds_get_safe_values(tmp_path):
    """Without bounds in the file, the strict defaults apply."""
    settings = load_gateway_settings(write(tmp_path, bounds={}))
    assert settings.bounds.retry_ratio == pytest.approx(0.1)
    assert settings.bounds.retry_slack < 64


def test_unknown_key_is_ignored_if_all_else_is_valid(tmp_path):
    """A newer platform may fill in fields that this build does not know."""
    path = write(tmp_path)
    path.write_text(f'{path.read_text()}\nnew_bound = 3\n[future]\nfield = 1\n')
    assert load_gateway_settings(path).vm.name == 'front-1'


@pytest.mark.parametrize(
    ('found', 'wrong', 'key'),
    [
        ('retry_slack = 64', 'retry_slack = "64"', 'bounds.retry_slack'),
        ('retry_slack = 64', 'retry_slack = true', 'bounds.retry_slack'),
        ('zone = "ovd-a"', 'zone = ""', 'vm'),
        ('grace_s = 1.2', 'grace_s = "1"', 'bounds.grace_s'),
        ('grace_s = 1.2', 'grace_s = -1', 'grace_s'),
        ('grace_s = 1.2', 'grace_s = inf', 'grace_s'),
        ('grace_s = 1.2', 'grace_s = nan', 'grace_s'),
        ('directory_lifetime_s = 5', 'directory_lifetime_s = nan', 'directory'),
        ('retry_window_s = 10', 'retry_window_s = nan', 'retry_window_s'),
        ('ovd-a" = "asturias"', 'ovd-a" = 7', 'zones'),
    ],
)
def test_malformed_value_names_its_key(tmp_path, found, wrong, key):
    """Each wrong value is an error that names key and remedy."""
    path = write(tmp_path)
    text = path.read_text()
    assert found in text
    path.write_text(text.replace(found, wrong))
    with pytest.raises(ExceptionGroup) as raised:
        load_gateway_settings(path)
    assert any(key in str(each) for each in raised.value.exceptions)


def test_every_mistake_stops_the_process(tmp_path):
    """Every invalid field is reported, without traceback, with exit code 2."""
    path = write(tmp_path)
    text = path.read_text().replace('name = "front-1"', 'nome = "front-1"')
    path.write_text(re.sub('address = .*', 'address = "nowhere"', text))
    ended = subprocess.run(
        [sys.executable, '-m', 'catkindrift.entry_vm'],
        env={**os.environ, 'CATKINDRIFT_SETTINGS': str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == 2
    assert 'vm.name: found nothing' in ended.stderr
    assert 'vm.nome' in ended.stderr
    assert 'platform: found' in ended.stderr
    assert 'Traceback' not in ended.stderr


@pytest.mark.parametrize(
    'arguments',
    [('-m', 'catkindrift.entry_vm'), ('src/catkindrift/source_loader.py',)],
)
def test_process_serves_and_stops_on_a_signal(tmp_path, arguments):
    """The process starts while the store is down and exits 0 on SIGTERM."""
    path = write(tmp_path)
    with subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        env={**os.environ, 'CATKINDRIFT_SETTINGS': str(path)},
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        for line in process.stderr:
            if 'has started' in line:
                break
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        process.stderr.read()
        assert process.wait(timeout=30) == 0


def test_changed_file_is_taken_and_a_wrong_one_is_not(tmp_path):
    """A reload returns valid changes once and ignores an invalid file."""
    path = write(tmp_path)
    file = SettingsFile(path)
    assert file.read_if_changed() is None
    good = path.read_text()
    path.write_text('not = [toml')
    assert file.read_if_changed() is None
    path.write_text(good.replace('grace_s = 1.2', 'grace_s = 9'))
    newer = file.read_if_changed()
    assert newer.bounds.grace_s == pytest.approx(9)
    assert file.read_if_changed() is None


def test_new_zones_and_bounds_come_into_force(tmp_path):
    """A reload applies new zones and bounds to the running components."""
    settings = load_gateway_settings(write(tmp_path))
    gateway = Gateway(settings)
    gateway.apply(
        attrs.evolve(
            settings,
            zones={**settings.zones, 'new-a': 'galicia'},
            bounds=attrs.evolve(settings.bounds, retry_ratio=0.05),
        ),
    )
    assert gateway._parts.state.regions['new-a'] == 'galicia'
    assert gateway._parts.budget.bounds.retry_ratio == pytest.approx(0.05)
