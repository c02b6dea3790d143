"""A planned stop cuts off nothing; a restart finds its way."""

import contextlib
import hashlib
import json
import threading
import time

import urllib3

from tests.deployment import HTTP

FIRST = 'entry-asturias-1-1'
SECOND = 'entry-asturias-1-2'
PIECES = 20
PIECE = b'survey' * 20_000
PAUSE_SECONDS = 0.1


def slow_upload(started):
    """Yield a body piece by piece."""
    for _ in range(PIECES):
        yield PIECE
        started.set()
        time.sleep(PAUSE_SECONDS)


def upload(url, started, answers):
    """Send a slow upload and keep its answer."""
    answer = HTTP.request('POST', url, body=slow_upload(started))
    answers.append(answer)


def send_quietly(url):
    """Send a request whose answer does not matter."""
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        HTTP.request('GET', url)


def lookup_names(url):
    """Return the entry VMs that a look-up names."""
    answer = HTTP.request('GET', f'{url}/lookup?block=10.20.0.0/24')
    return {entry['vm'] for entry in json.loads(answer.data)['entries']}


class TestPlannedStop:
    """Requests in flight finish, and callers with old answers are served."""

    def test_upload_survives_two_stops(self, running):
        """An upload finishes though the VM is told twice to stop."""
        local = running.local
        local.faults.is_down = True
        started = threading.Event()
        answers = []
        sender = threading.Thread(
            target=upload,
            args=(
                f'{running.callers_url(0)}/services/surveys/x',
                started,
                answers,
            ),
        )
        sender.start()
        assert started.wait(10)
        stopping = [
            running.submit(local.entry_vms[FIRST].stop()) for _ in range(2)
        ]
        time.sleep(0.3)
        assert FIRST not in lookup_names(running.callers_url(1))
        old_answer = f'{running.callers_url(0)}/services/tariffs/x'
        assert HTTP.request('GET', old_answer).status == 200
        sender.join()
        for stop in stopping:
            stop.result(timeout=30)
        digest = hashlib.sha256(PIECE * PIECES).hexdigest()
        assert json.loads(answers[0].data)['sha256'] == digest
        local.faults.is_down = False
        running.run(local.start_entry_vm(FIRST))


class TestCrash:
    """A VM that ends at once leaves no thread waiting."""

    def test_waiting_requests_do_not_hold_the_end(self, running):
        """Requests in the queue are refused when the VM ends."""
        for upstream in running.local.upstreams.values():
            upstream.work_ms = 2000
        url = f'{running.callers_url(1)}/services/tariffs/x'
        senders = [
            threading.Thread(target=send_quietly, args=(url,))
            for _ in range(12)
        ]
        for sender in senders:
            sender.start()
        core = running.local.entry_vms[SECOND].core
        until = time.monotonic() + 5
        while not core.has_waiting_requests and time.monotonic() < until:
            time.sleep(0.01)
        assert core.has_waiting_requests
        running.run(running.local.kill_entry_vm(SECOND))
        for sender in senders:
            sender.join(10)
            assert not sender.is_alive()
        for upstream in running.local.upstreams.values():
            upstream.work_ms = 5
        running.run(running.local.start_entry_vm(SECOND))


class TestRestart:
    """A VM that starts while the platform is down learns from others."""

    def test_learns_from_peers(self, running):
        """It serves with the configuration that others have in force."""
        local = running.local
        local.faults.is_down = True
        running.run(local.kill_entry_vm(SECOND))
        running.run(local.start_entry_vm(SECOND))
        newest = max(
            vm.core.state.active_config.revision
            for vm in local.entry_vms.values()
        )
        core = local.entry_vms[SECOND].core
        assert core.state.active_config.revision == newest
        url = f'{running.callers_url(1)}/services/tariffs/x'
        assert HTTP.request('GET', url).status == 200
        local.faults.is_down = False

    def test_lost_answer_of_a_change(self, running):
        """An operator's change whose answer was lost counts once."""
        wait_until_platform_is_back(running)
        before = running.operate('GET', '/v1/status')
        running.local.faults.lost_answers = 1
        status, _ = running.operate(
            'PUT',
            '/v1/zones/euskadi-1',
            {'name': 'euskadi-1', 'region': 'euskadi', 'blocks': []},
        )
        assert status == 200
        _, zones = running.operate('GET', '/v1/zones')
        assert 'euskadi-1' in {zone['name'] for zone in zones}
        after = running.operate('GET', '/v1/status')
        assert after[1]['revision'] == before[1]['revision'] + 1

    def test_platform_down_is_said(self, running):
        """A change during an outage is refused with the remedy."""
        running.local.faults.is_down = True
        status, problem = running.operate(
            'PUT',
            '/v1/zones/euskadi-2',
            {'name': 'euskadi-2', 'region': 'euskadi', 'blocks': []},
        )
        running.local.faults.is_down = False
        assert status == 503
        assert 'platform' in problem['detail']


class TestUploadMemory:
    """Bodies are never held whole."""

    def test_large_upload_through_two_vms(self, running):
        """100 MB pass through two entry VMs with little memory."""
        time.sleep(1)
        size = 100_000_000
        piece = bytes(range(250)) * 400
        for number in (2, 3):
            before = resident_bytes()
            answer = HTTP.request(
                'POST',
                f'{running.callers_url(number)}/services/surveys/big',
                body=(piece for _ in range(size // len(piece))),
                headers={'Content-Length': str(size)},
                timeout=urllib3.Timeout(60),
            )
            digest = hashlib.sha256(piece * (size // len(piece))).hexdigest()
            found = json.loads(answer.data)
            assert (found['bytes'], found['sha256']) == (size, digest)
            assert resident_bytes() - before < 16_000_000


def wait_until_platform_is_back(running):
    """Wait until each entry VM has had an answer since the last outage.

    Until then its breaker may refuse calls, as it should.
    """
    gates = [vm._parts._gate for vm in running.local.entry_vms.values()]
    until = time.monotonic() + 30
    while any(gate._breaker._failures for gate in gates):
        assert time.monotonic() < until
        time.sleep(0.05)


def resident_bytes():
    """Return the resident memory of this process."""
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * 4096
