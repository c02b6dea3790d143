"""End-to-end tests of lookup, forwarding and the operator API."""

import hashlib
import json

from tests.deployment import HTTP


class TestLookup:
    """Callers look up the entry VMs to use."""

    def test_nearest_zone_first(self, running):
        """The entry VMs in the zone of the address block come first."""
        url = f'{running.callers_url()}/lookup?block=10.21.3.0/24'
        response = json.loads(HTTP.request('GET', url).data)
        zones = [entry['zone'] for entry in response['entries']]
        assert zones[:2] == ['cantabria-1', 'cantabria-1']
        assert response['lifetime_ms'] == 2000

    def test_batch(self, running):
        """A batch lookup returns one result per block."""
        response = HTTP.request(
            'POST',
            f'{running.callers_url()}/lookup',
            body=json.dumps({'blocks': ['10.20.0.1', '10.21.0.1']}).encode(),
        )
        zones = [each['zone'] for each in json.loads(response.data)['answers']]
        assert zones == ['asturias-1', 'cantabria-1']


class TestForwarding:
    """Entry VMs forward requests to upstreams."""

    def test_answer_of_an_upstream(self, running):
        """A request reaches an upstream of the service in its path."""
        url = f'{running.callers_url()}/services/tariffs/2026?region=7'
        response = json.loads(HTTP.request('GET', url).data)
        assert response['upstream'].startswith('tariffs-')
        assert response['path'] == '/2026'

    def test_upload_arrives_whole(self, running):
        """The upstream receives every byte of a streamed upload."""
        body = bytes(range(256)) * 40_000
        url = f'{running.callers_url()}/services/surveys/roof'
        response = json.loads(HTTP.request('POST', url, body=body).data)
        assert response['sha256'] == hashlib.sha256(body).hexdigest()

    def test_unknown_service(self, running):
        """A request for an unknown service gets 404 and outcome not_run."""
        url = f'{running.callers_url()}/services/nothing/'
        response = HTTP.request('GET', url)
        assert response.status == 404
        assert json.loads(response.data)['outcome'] == 'not_run'


class TestPlans:
    """Operators send intents and confirm the resulting plans."""

    def test_drain_reaches_empty(self, running):
        """A confirmed drain plan ends when the VM has no requests left."""
        body = {
            'kind': 'drain',
            'drain': {'scope': 'vm', 'target': 'tariffs-1'},
        }
        status, plan = running.operate('POST', '/v1/intents', body)
        assert status == 200
        assert plan['state'] == 'proposed'
        path = f'/v1/plans/{plan["name"]}'
        assert running.operate('POST', f'{path}/confirm')[0] == 200
        assert running.follow(plan['name'])['state'] == 'done'


class TestOpenApi:
    """The OpenAPI document matches the operator API."""

    def test_documented_reads_are_served(self, running):
        """Every documented GET without path parameters returns 200."""
        status, document = running.operate('GET', '/v1/openapi.json')
        assert status == 200
        lists = [
            path
            for path, methods in document['paths'].items()
            if 'get' in methods and '{' not in path
        ]
        assert len(lists) == 5
        for path in lists:
            assert running.operate('GET', path)[0] == 200

    def test_health_and_metrics(self, running):
        """Health, readiness and metrics are served without a token."""
        for path in ('healthz', 'readyz'):
            url = f'{running.operators_url()}/{path}'
            assert HTTP.request('GET', url).status == 200
        url = f'{running.operators_url()}/metrics'
        metrics = HTTP.request('GET', url).data.decode()
        assert 'catkindrift_invariants_breached_total' in metrics
        assert 'catkindrift_request_seconds_bucket' in metrics
