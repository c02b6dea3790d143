"""A request hidden in a body reaches a server as a request of its own."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from standins import (  # noqa: E402
    CannotRunError, Client, Deployment, Server, configuration, encode,
    request_bytes, route, run_case,
)

ZONES = {'ovd-a': 'asturias', 'gij-b': 'asturias'}
REQUESTS = 5


async def case(record, has_trouble):
    async with Deployment(record, ZONES) as deployment:
        routes = [route('r-1', '/vuelo/', 'levantamientos', 'upload', 2)]
        await deployment.store.put(
            'config', 'main', configuration(7, routes, ['levantamientos'])
        )
        for index, zone in enumerate(('ovd-a', 'gij-b', 'ovd-a')):
            await deployment.add_server(
                Server(record, 'levantamientos', f'i-{index}', zone)
            )
        for name, zone in (('front-1', 'ovd-a'), ('front-2', 'gij-b')):
            await deployment.add_vm(name, zone)
        await deployment.wait_until_ready()
        await asyncio.sleep(4)
        options = 'keep-alive, Content-Length' if has_trouble else 'keep-alive'
        sent = {}
        client = Client(deployment.vms[0])
        await client.connect()
        for index in range(REQUESTS):
            attempt = f'sent-{index}'
            body = encode(
                'POST /vuelo/hidden HTTP/1.1',
                [('Host', 'quotes.example'), ('Attempt-Id', f'hidden-{index}')],
            )
            sent[attempt] = ('POST', '/vuelo/1', body)
            record(f'sends {attempt} with {len(body)} bytes; options {options}')
            client.writer.write(request_bytes(
                'POST', '/vuelo/1', attempt, 3000, body,
                [('Connection', options)],
            ))
            answer = await client.receive()
            record(f'{attempt} has {answer.status if answer else "closed"}')
            if answer is None:
                client.close()
                client = Client(deployment.vms[0])
                await client.connect()
            await asyncio.sleep(0.5)
        runs = [run for server in deployment.servers for run in server.runs]
        unasked = [run for run in runs if run[0] not in sent]
        changed = [
            run for run in runs if run[0] in sent and run[1:4] != sent[run[0]]
        ]
        if not has_trouble and len(runs) < REQUESTS:
            raise CannotRunError('requests without the option did not run')
        record(f'{REQUESTS} requests sent, {len(runs)} run')
        record(f'run with an id that no client sent: {len(unasked)}')
        record(f'run with another body than was sent: {len(changed)}')
        return bool(unasked or changed)


run_case(FOLDER, case)
