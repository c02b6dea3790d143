"""The data path on the platform: real sockets, fake store and upstreams."""

import asyncio

import attrs
import pytest

from tests.platform_deployment import (
    SAFE,
    UNSAFE,
    UPLOAD,
    ask,
    deployed,
    eventually,
    head,
    read_answer,
)
from tests.platform_upstream import shed

LAST_CHUNK = b'0\r\n\r\n'
RESOLVE = (
    b'GET /resolve?name=q&region=asturias&zone=ovd-a HTTP/1.1\r\n'
    b'Host: x\r\n\r\n'
)


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def respond_with_attempt_id(upstream, attempt):
    return upstream.ok(attempt, attempt)


def crash(upstream, _attempt):
    """Close all connections, as when the process is killed."""
    upstream.close()


async def wait_for_health_checks(deployment):
    """Wait for the health checks of upstreams that lost connections."""
    crashes = deployment.gateways[0]._parts.crashes
    await eventually(lambda: not crashes._checks)


async def ask_until(address, request, is_expected):
    """Repeat a request until the response body is as expected."""
    async with asyncio.timeout(10):
        while True:
            _, _, body = await ask(address, request)
            if is_expected(body):
                return body
            await asyncio.sleep(0.05)


def arrivals(deployment):
    return [
        request
        for upstream in deployment.upstreams
        for request in upstream.requests
    ]


def test_request_reaches_upstream_unchanged(tmp_path):
    """Method, target, id and body are unchanged; own headers are added."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            status, headers, body = await ask(
                deployment.address(),
                head('/unsafe/x?y=1', 'POST', extra='Content-Length: 3\r\n')
                + b'abc',
            )
            assert (status, body) == (200, b'hello')
            assert headers['server-signature'] == 's'
            line, sent, sent_body = arrivals(deployment)[0]
            assert line == b'POST /unsafe/x?y=1 HTTP/1.1'
            assert sent[b'attempt-id'] == b'a1'
            assert sent[b'expected-instance'].startswith(b'i-')
            assert 0 < int(sent[b'deadline-remaining']) <= 1500
            assert sent_body == b'abc'

    run(scenario())


def test_unknown_route_is_not_found(tmp_path):
    """A path without a route gets a 404 and reaches no upstream."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            status, _, _ = await ask(deployment.address(), head('/none/x'))
            assert status == 404
            assert not arrivals(deployment)

    run(scenario())


@pytest.mark.parametrize(
    ('request_bytes', 'expected'),
    [
        (b'GARBAGE\r\n\r\n', 400),
        (head('/safe/x', extra=f'X: {"y" * 5000}\r\n'), 431),
        (head('/unsafe/x', 'POST', extra='Content-Length: 999999\r\n'), 413),
        (
            head(
                '/unsafe/x',
                'POST',
                extra='Content-Length: 3\r\nTransfer-Encoding: chunked\r\n',
            ),
            400,
        ),
    ],
)
def test_bad_input_is_refused(tmp_path, request_bytes, expected):
    """Malformed or oversized requests are rejected and reach no upstream."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            status, headers, _ = await ask(deployment.address(), request_bytes)
            assert status == expected
            assert headers['connection'] == 'close'
            assert not arrivals(deployment)

    run(scenario())


UPGRADE_HEADERS = 'Connection: Upgrade\r\nUpgrade: h2c\r\n'


def test_offer_of_another_protocol_denies_no_request(tmp_path):
    """An Upgrade header is ignored; both requests get a response."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            reader, writer = await asyncio.open_connection(
                *deployment.address(),
            )
            writer.writelines(
                [head('/safe/x', extra=UPGRADE_HEADERS), head('/safe/y')]
            )
            answers = [await read_answer(reader) for _ in range(2)]
            assert [status for status, _, _ in answers] == [200, 200]
            writer.close()

    run(scenario())


def test_chunked_body_over_the_limit_is_refused(tmp_path):
    """The size of a body without Content-Length is checked on arrival."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            part = b'19000\r\n%b\r\n' % (b'z' * 0x19000)
            request = head(
                '/upload/x', 'POST', extra='Transfer-Encoding: chunked\r\n'
            )
            status, _, _ = await ask(deployment.address(), request + part)
            assert status == 413

    run(scenario())


def test_refused_attempt_goes_to_another_upstream(tmp_path):
    """A request that was not executed is retried at another upstream."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            deployment.answer_with(shed)
            first = len(arrivals(deployment))
            status, headers, _ = await ask(
                deployment.address(), head('/unsafe/x', 'POST')
            )
            assert status == 503
            assert float(headers['retry-after']) > 0
            assert len(arrivals(deployment)) - first == 2
            status, _, _ = await ask(
                deployment.address(), head('/unsafe/x', 'POST', 'a2')
            )
            assert status == 200

    run(scenario())


def test_lost_answer_of_unsafe_request_promises_nothing(tmp_path):
    """It is sent once, and the caller gets a 502: the outcome is unknown."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            deployment.answer_with(None)
            status, _, _ = await ask(
                deployment.address(), head('/unsafe/x', 'POST')
            )
            assert status == 502
            assert len(arrivals(deployment)) == 1

    run(scenario())


def test_lost_answer_of_safe_request_is_asked_for_again(tmp_path):
    """A safe request whose response is lost is retried elsewhere."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            deployment.answer_with(None)
            deployment.upstreams[0].script.append(None)
            status, _, _ = await ask(deployment.address(), head('/safe/x'))
            assert len(arrivals(deployment)) == 2
            assert status == 502

    run(scenario())


@pytest.mark.parametrize(
    'response',
    [
        b'NOT HTTP AT ALL\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n'
        b'Connection: close\r\nContent-Length: 50\r\n\r\ncut',
        b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 3\r\n\r\nabc',
        b'HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Signature: s\r\n'
        b'Connection: close\r\nContent-Length: 3\r\n\r\nabc',
    ],
)
def test_spoiled_answer_is_never_shown(tmp_path, response):
    """Malformed, truncated, unsigned or mismatched responses end as unknown."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            deployment.answer_with(response)
            status, _, body = await ask(
                deployment.address(), head('/unsafe/x', 'POST', deadline=400)
            )
            assert status in {502, 504}
            assert body == b''

    run(scenario())


def test_late_extra_answer_is_passed_over(tmp_path):
    """A response to an earlier request is not used for the next one."""

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            upstream = deployment.upstreams[0]
            upstream.script = [
                lambda up, attempt: up.ok(b'old', b'stale') + up.ok(attempt),
            ]
            _, _, body = await ask(deployment.address(), head('/safe/x'))
            assert body == b'hello'
            await ask(deployment.address(), head('/safe/x', attempt='a2'))
            assert upstream.connections == 2

    run(scenario())


def test_surplus_bytes_end_a_connection(tmp_path):
    """A second response behind the first is dropped with its connection."""

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            upstream = deployment.upstreams[0]
            upstream.script = [
                lambda up, attempt: up.ok(attempt) + up.ok(attempt, b'more'),
            ]
            for number in range(3):
                _, _, body = await ask(
                    deployment.address(), head('/safe/x', attempt=f'n{number}')
                )
                assert body == b'hello'
            assert upstream.connections == 2

    run(scenario())


def test_answer_without_length_ends_with_its_connection(tmp_path):
    """The caller gets the complete body, with a Content-Length."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            deployment.answer_with(
                b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n'
                b'Server-Signature: s\r\nConnection: close\r\n\r\nwhole'
            )
            status, headers, body = await ask(
                deployment.address(), head('/safe/x')
            )
            assert (status, body) == (200, b'whole')
            assert headers['content-length'] == '5'

    run(scenario())


def test_promise_without_a_statement_is_not_passed_on(tmp_path):
    """A 503 without Not-Executed does not show that nothing was run."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            deployment.answer_with(
                b'HTTP/1.1 503 No\r\nAttempt-Id: a1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            status, _, _ = await ask(
                deployment.address(), head('/unsafe/x', 'POST')
            )
            assert status == 502

    run(scenario())


def test_caller_who_leaves_cancels_the_work(tmp_path):
    """The upstream connection is closed long before any timeout."""
    patient = {**SAFE, 'timeout_s': 60}

    async def scenario():
        async with deployed(tmp_path, routes=(patient,)) as deployment:
            for upstream in deployment.upstreams:
                upstream.delay_s = 30
            _, writer = await asyncio.open_connection(*deployment.address())
            writer.write(head('/safe/x', deadline=60_000))
            await eventually(lambda: len(arrivals(deployment)) == 1)
            writer.close()
            await eventually(
                lambda: sum(each.cut for each in deployment.upstreams) == 1,
            )

    run(scenario())


def test_route_timeout_ends_the_wait(tmp_path):
    """The final response is sent at the route's timeout, not the deadline."""

    async def scenario():
        routes = ({**SAFE, 'timeout_s': 0.2, 'max_attempts': 1}, UNSAFE)
        async with deployed(tmp_path, routes=routes) as deployment:
            for upstream in deployment.upstreams:
                upstream.delay_s = 30
            status, _, _ = await ask(
                deployment.address(), head('/safe/x', deadline=9000)
            )
            assert status == 504

    run(scenario())


def test_requests_sent_ahead_are_answered_in_order(tmp_path):
    """Responses to pipelined requests are sent in request order."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            reader, writer = await asyncio.open_connection(
                *deployment.address()
            )
            for upstream in deployment.upstreams:
                upstream.script = [respond_with_attempt_id for _ in '1234']
                upstream.delay_s = 0.05
            requests = [
                head('/safe/x', attempt=f'n{number}') for number in range(4)
            ]
            writer.write(b''.join(requests))
            bodies = [(await read_answer(reader))[2] for _ in requests]
            assert bodies == [b'n0', b'n1', b'n2', b'n3']
            writer.close()

    run(scenario())


def test_upload_streams_through(tmp_path):
    """A chunked body larger than one read arrives complete."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            request = head(
                '/upload/x', 'POST', extra='Transfer-Encoding: chunked\r\n'
            )
            part = b'8000\r\n%b\r\n' % (b'u' * 0x8000)
            status, _, _ = await ask(
                deployment.address(),
                b''.join((request, part, part, LAST_CHUNK)),
            )
            assert status == 200
            assert arrivals(deployment)[0][2] == b'u' * 0x10000

    run(scenario())


def test_planned_stop_finishes_requests(tmp_path):
    """A stopping VM is not ready at once, but finishes running requests."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for upstream in deployment.upstreams:
                upstream.delay_s = 0.5
            running = asyncio.create_task(
                ask(deployment.address(), head('/unsafe/x', 'POST'))
            )
            await eventually(lambda: len(arrivals(deployment)) == 1)
            stopping = asyncio.create_task(deployment.gateways[0].stop())
            await asyncio.sleep(0)
            status, _, _ = await ask(
                deployment.address('ready'),
                b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n',
            )
            assert status == 503
            status, headers, _ = await running
            assert status == 200
            assert headers['connection'] == 'close'
            await stopping

    run(scenario())


def test_directory_names_the_ready_vm(tmp_path):
    """A lookup returns an address and its lifetime."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            own = deployment.fields[0]['listen']['front'].encode()
            body = await ask_until(
                deployment.address('directory'),
                RESOLVE,
                lambda body: own in body,
            )
            assert b'"ttl_s":1.0' in body

    run(scenario())


def test_reload_shortens_the_lifetime_of_lookups(tmp_path):
    """Callers would use a VM for longer than its stop waits for them."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            gateway = deployment.gateways[0]
            bounds = attrs.evolve(
                gateway._settings.bounds, directory_lifetime_s=0.25
            )
            gateway.apply(attrs.evolve(gateway._settings, bounds=bounds))
            address = deployment.address('directory')
            body = await ask_until(
                address, RESOLVE, lambda body: b'ttl_s' in body
            )
            assert b'"ttl_s":0.25' in body

    run(scenario())


def test_entry_vms_find_each_other(tmp_path):
    """Two entry VMs discover each other through store and heartbeats."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            await deployment.add_gateway('front-2', 'gij-b')
            address = deployment.address('directory')
            await ask_until(
                address, RESOLVE, lambda body: body.count(b'127.0.0.1') == 2
            )
            await deployment.gateways.pop().stop()
            await ask_until(
                address, RESOLVE, lambda body: body.count(b'127.0.0.1') == 1
            )

    run(scenario())


def test_request_that_crashes_upstreams_is_quarantined(tmp_path):
    """After two crashes it is refused, also by a VM that only got reports."""

    async def scenario():
        async with deployed(tmp_path, upstreams=4) as deployment:
            await deployment.add_gateway('front-2', 'gij-b')
            deployment.answer_with(crash)
            for attempt in ('a1', 'a2', 'a3', 'a4'):
                await ask(
                    deployment.address(),
                    head('/unsafe/poison', 'POST', attempt),
                )
                await wait_for_health_checks(deployment)
            assert len(arrivals(deployment)) == 2
            async with asyncio.timeout(10):
                while not deployment.gateways[
                    1
                ]._parts.crashes.reports.next_crashes():
                    await asyncio.sleep(0.05)
            status, _, _ = await ask(
                deployment.address(index=1),
                head('/unsafe/poison', 'POST', 'a5'),
            )
            assert status == 503
            assert len(arrivals(deployment)) == 2

    run(scenario())


def test_lost_answers_blame_nobody(tmp_path):
    """An upstream that accepts connections has not crashed."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for upstream in deployment.upstreams:
                upstream.script = [None, None, None]
            for attempt in ('a1', 'a2', 'a3'):
                await ask(
                    deployment.address(), head('/unsafe/x', 'POST', attempt)
                )
                await wait_for_health_checks(deployment)
            assert not deployment.gateways[
                0
            ]._parts.crashes.reports.next_crashes()

    run(scenario())


def test_answer_leaves_before_the_caller_gives_up(tmp_path):
    """The final response is sent in time although the upstream is silent."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for upstream in deployment.upstreams:
                upstream.delay_s = 30
            status, _, _ = await ask(
                deployment.address(),
                head('/unsafe/x', 'POST', deadline=400),
            )
            assert status == 504
            forwarded_ms = int(
                arrivals(deployment)[0][1][b'deadline-remaining']
            )
            assert forwarded_ms <= 370

    run(scenario())


def test_metrics_count_answers_and_store_calls(tmp_path):
    """Responses and store calls are counted at the metrics address."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            await ask(deployment.address(), head('/safe/x'))
            port = deployment.fields[0]['internal_ports'][1]
            page = await ask_until(
                ('127.0.0.1', port),
                b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n',
                lambda body: b'catkindrift_store_calls{method="GET"}' in body,
            )
            assert b'catkindrift_answers_total{status="200"} 1.0' in page

    run(scenario())


def test_metrics_count_unreadable_entries(tmp_path):
    """An entry that can't be read is counted by its kind."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            await deployment.store.put('servers', 'odd', {'x': '\ud83d'})
            port = deployment.fields[0]['internal_ports'][1]
            await ask_until(
                ('127.0.0.1', port),
                b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n',
                lambda body: (
                    (
                        b'catkindrift_store_unreadable_entries_total'
                        b'{kind="servers"} 1.0'
                    )
                    in body
                ),
            )

    run(scenario())


def test_long_answer_that_waits_for_its_turn_is_cancelled(tmp_path):
    """A disconnect cancels a response that is not being read yet.

    The response waits for the one to an earlier pipelined request.
    """

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            upstream = deployment.upstreams[0]
            lost = []

            def begin_long(upstream, attempt):
                whole = upstream.ok(attempt, b'x' * 400_000)
                return whole[:300_000]

            upstream.delay_s = 5
            _, writer = await asyncio.open_connection(*deployment.address())
            writer.write(head('/safe/slow', attempt='a1'))
            await eventually(lambda: upstream.requests)
            upstream.delay_s = 0
            upstream.script = [begin_long]
            upstream.on_lost = lost.append
            writer.write(head('/safe/long', attempt='a2'))
            await eventually(lambda: len(upstream.requests) == 2)
            await asyncio.sleep(0.2)
            assert not lost
            writer.close()
            await eventually(lambda: len(lost) == 2, seconds=2)

    run(scenario())


def test_connection_goes_on_after_an_upload_that_nobody_read(tmp_path):
    """A complete but unread body does not block the next request."""

    async def scenario():
        async with deployed(tmp_path, upstreams=0) as deployment:
            await deployment.configure(2, (UPLOAD,), max_body_bytes=1_000_000)
            state = deployment.gateways[0]._parts.state
            await eventually(lambda: state.configuration.version == 2)
            reader, writer = await asyncio.open_connection(
                *deployment.address()
            )
            for _ in range(2):
                body = bytes(400_000)
                extra = f'Content-Length: {len(body)}\r\n'
                writer.write(head('/upload/x', 'POST', extra=extra) + body)
                async with asyncio.timeout(5):
                    status, _, _ = await read_answer(reader)
                assert status == 503
            writer.close()

    run(scenario())


def server_error(upstream, attempt):
    return upstream.ok(attempt, b'broken').replace(
        b'200 OK', b'500 Internal Server Error'
    )


def test_answer_that_is_there_is_delivered_at_the_time_limit(tmp_path):
    """The first upstream's failure is forwarded if the second is silent."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for attempt in range(12):
                await ask(
                    deployment.address(), head('/safe/x', attempt=f'w{attempt}')
                )

            def fail_and_silence_others(upstream, attempt):
                for other in deployment.upstreams:
                    other.delay_s = 5
                return server_error(upstream, attempt)

            deployment.answer_with(fail_and_silence_others)
            status, _, body = await ask(
                deployment.address(), head('/safe/x', deadline=700)
            )
            assert (status, body) == (500, b'broken')
            last = [each[1][b'attempt-id'] for each in arrivals(deployment)]
            assert last.count(b'a1') == 2

    run(scenario())


def test_long_failure_is_given_up_when_another_upstream_is_tried(tmp_path):
    """A failure response that is still arriving is cancelled for a retry."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for attempt in range(12):
                await ask(
                    deployment.address(), head('/safe/x', attempt=f'w{attempt}')
                )
            lost = []

            def begin_long_failure(upstream, attempt):
                for other in deployment.upstreams:
                    other.script = []
                upstream.on_lost = lost.append
                whole = upstream.ok(attempt, b'x' * 400_000)
                whole = whole.replace(b'200 OK', b'500 Broken')
                return whole[:300_000]

            deployment.answer_with(begin_long_failure)
            status, _, body = await ask(deployment.address(), head('/safe/x'))
            assert (status, body) == (200, b'hello')
            await eventually(lambda: lost, seconds=2)

    run(scenario())
