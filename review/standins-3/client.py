"""Stand-in for a client (PROTOCOL.md, Requests)."""

import asyncio
import itertools
import json
import random
import time

from http_server import read_message

NUMBERS = itertools.count(1)
TTL_MAX_S = 5


def new_attempt(prefix):
    """Return an id that no other attempt has."""
    return f'{prefix}{next(NUMBERS):08x}'


async def send(
    port, host, method, path, attempt, body=b'', deadline_ms=3000, headers=()
):
    """Send one attempt on a new connection.

    Returns:
        When it was sent, the status (0 without a response), the headers and
        the body.
    """
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'Attempt-Id: {attempt}',
        f'Deadline-Remaining: {deadline_ms}',
        *(f'{name}: {stated}' for name, stated in headers),
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    sent_s = time.monotonic()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            sent_s = time.monotonic()
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            first, answered, content = await read_message(reader)
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return sent_s, 0, {}, b''
    return sent_s, int(first.split(' ')[1]), answered, content


class ResolvingClient:
    """Sends requests to entry VMs that the directory names.

    Args:
        directories: Ports of up to three directories, the nearest first.
        host: Host of the requests.
        place: Region and zone of the client.
        factor: How many times the stated lifetime it keeps a response; some
            clients keep it three times as long.
        on_attempt: Called with the attempt's id, the port that it was sent
            to, when, and the status.
        rng: Source of its choices.
    """

    def __init__(self, directories, host, place, factor, on_attempt, rng=random):
        self._directories = directories
        self._host = host
        self._place = place
        self._factor = factor
        self._on_attempt = on_attempt
        self._rng = rng
        self._ports = []
        self._until_s = 0.0

    async def run(self, method, prefix, every_s, deadline_ms):
        """Send requests one after the other until cancelled."""
        await asyncio.sleep(self._rng.random() * every_s)
        while True:
            await self._resolve()
            if self._ports:
                attempt = new_attempt('c')
                port = self._rng.choice(self._ports)
                body = b'x' if method == 'POST' else b''
                sent_s, status, _, _ = await send(
                    port,
                    self._host,
                    method,
                    f'{prefix}{attempt}',
                    attempt,
                    body,
                    deadline_ms,
                )
                self._on_attempt(attempt, port, sent_s, status)
            await asyncio.sleep(every_s * (0.5 + self._rng.random()))

    async def _resolve(self):
        if self._ports and time.monotonic() < self._until_s:
            return
        region, zone = self._place
        path = f'/resolve?name={self._host}&region={region}&zone={zone}'
        for port in self._directories:
            found = await _get_json(port, path)
            if found and found.get('addresses'):
                self._ports = [
                    int(each.rpartition(':')[2]) for each in found['addresses']
                ]
                lifetime_s = min(found['ttl_s'], TTL_MAX_S) * self._factor
                self._until_s = time.monotonic() + lifetime_s
                return


async def _get_json(port, path):
    request = f'GET {path} HTTP/1.1\r\nHost: directory\r\n\r\n'
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(request.encode())
            first, _, content = await read_message(reader)
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    return json.loads(content) if ' 200 ' in first else None
