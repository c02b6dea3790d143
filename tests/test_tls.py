"""TLS on the addresses for callers, operators and peers."""

import asyncio
import contextlib
import json
import ssl

import attrs
import pytest
import trustme
import urllib3

from catkindrift.demo import sample_deployment
from catkindrift.entry_settings import PeerSettings, TlsSettings
from tests.deployment import RunningDeployment


@pytest.fixture
def certificates(tmp_path):
    """Write a CA, a certificate for loopback and two peer secrets."""
    authority = trustme.CA()
    certificate = authority.issue_cert('127.0.0.1')
    authority.cert_pem.write_to_path(str(tmp_path / 'ca.pem'))
    chain = tmp_path / 'chain.pem'
    for part in certificate.cert_chain_pems:
        part.write_to_path(str(chain), append=True)
    certificate.private_key_pem.write_to_path(str(tmp_path / 'key.pem'))
    (tmp_path / 'secret').write_text('shared\n')
    (tmp_path / 'other').write_text('wrong\n')
    return tmp_path


@pytest.fixture
def secured(certificates):
    """Run a deployment with TLS where one VM has a different secret."""
    with contextlib.ExitStack() as stack:
        deployment = RunningDeployment()
        stack.callback(deployment.stop)
        secure(deployment, certificates)
        yield deployment


def secure(deployment, certificates):
    """Restart all entry VMs with TLS, one with a different secret."""
    settings = deployment.local.settings
    tls = TlsSettings(
        str(certificates / 'chain.pem'),
        str(certificates / 'key.pem'),
        str(certificates / 'ca.pem'),
    )
    for number, (name, plain) in enumerate(list(settings.items())):
        secret = 'other' if number == 3 else 'secret'
        peers = PeerSettings(plain.peers.seeds, str(certificates / secret))
        settings[name] = attrs.evolve(plain, tls=tls, peers=peers)
        deployment.run(deployment.local.kill_entry_vm(name))
    for name in settings:
        deployment.run(deployment.local.start_entry_vm(name))


class TestTls:
    """A certificate in the settings enables TLS on all addresses."""

    def test_callers_and_operators(self, secured, certificates):
        """Callers and operators that trust the CA are served over TLS."""
        http = urllib3.PoolManager(ca_certs=str(certificates / 'ca.pem'))
        settings = next(iter(secured.local.settings.values()))
        callers = f'https://{settings.listen.callers}/lookup?block=10.20.0.1'
        entry = json.loads(http.request('GET', callers).data)['entries'][0]
        assert entry['url'].startswith('https://')
        operators = f'https://{settings.listen.operators}/healthz'
        assert http.request('GET', operators).data == b'ok\n'

    def test_wrong_secret_is_rejected(self, secured):
        """A VM with a different secret is not accepted as a peer."""
        names = list(secured.local.settings)
        secured.run(asyncio.sleep(2))
        first = secured.local.entry_vms[names[0]].core.state.members
        assert first.record(names[1]) is not None
        assert first.record(names[3]) is None

    def test_plain_peer_is_refused(self, secured):
        """A peer without a client certificate is disconnected."""
        settings = next(iter(secured.local.settings.values()))
        host, _, port = settings.listen.peers.partition(':')
        context = ssl.create_default_context()
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE

        async def call():
            reader, writer = await asyncio.open_connection(
                host,
                int(port),
                ssl=context,
            )
            writer.write(b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n')
            received = await reader.read(1)
            writer.close()
            return received

        with pytest.raises((ssl.SSLError, ConnectionError)):
            assert not asyncio.run(call())
            raise ConnectionError('closed without an answer')


def test_sample_has_two_regions():
    """The sample deployment spans two regions."""
    assert len({zone.region for zone in sample_deployment().zones}) == 2
