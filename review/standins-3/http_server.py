"""A small HTTP/1.1 server that the stand-ins share."""

import asyncio

from ports import free_port

REASONS = {
    200: 'OK',
    201: 'Created',
    404: 'Not Found',
    409: 'Conflict',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        if line:
            name, _, stated = line.partition(':')
            headers[name.strip().lower()] = stated.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


def encode_response(status, headers, body):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {stated}' for name, stated in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class HttpStandIn:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.port = 0
        self.writers = set()
        self._server = None

    async def listen(self, port=0):
        """Listen on loopback; port 0 takes a free one."""
        while True:
            self.port = port or free_port()
            try:
                self._server = await asyncio.start_server(
                    self._serve, '127.0.0.1', self.port, backlog=512
                )
            except OSError:
                if port:
                    raise
            else:
                return

    def close(self):
        """Stop listening and reset all connections, as a killed process."""
        if self._server:
            self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def handle(self, method, target, headers, body):
        raise NotImplementedError

    async def respond(self, reader, writer, first, headers, body):
        """Write the response to one request."""
        method, target, _ = first.split(' ', 2)
        status, more, content = await self.handle(method, target, headers, body)
        writer.write(encode_response(status, more, content))
        await writer.drain()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self.respond(reader, writer, first, headers, body)
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
            OSError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
