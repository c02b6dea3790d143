"""A deployment on the platform's interfaces, in the test process."""

import asyncio
import contextlib
import json
import re
from pathlib import Path
from types import MappingProxyType

import attrs

from catkindrift.demo import free_ports
from catkindrift.gateway import Gateway
from catkindrift.settings import GatewaySettings
from catkindrift.strict_settings import load_settings
from tests.platform_store import PlatformStore
from tests.platform_upstream import PlatformUpstream

TEMPLATE = Path(__file__).parents[1] / 'deploy' / 'settings.toml.template'
ZONES = MappingProxyType(
    {
        'ovd-a': 'asturias',
        'gij-b': 'asturias',
        'snt-a': 'cantabria',
    }
)


def free_port():
    """Return a port that is free on loopback."""
    return free_ports(1)[0]


def render(template, fields):
    """Render a template with the subset of the platform's syntax in use."""

    def resolve(path):
        node = fields
        for part in path.split('.'):
            if isinstance(node, list):
                node = node[int(part)]
            else:
                node = node.get(part) if node else None
        return node

    def section(match):
        node = resolve(match[1])
        if isinstance(node, dict):
            return ''.join(
                match[2]
                .replace('{{@}}', key)
                .replace('{{.|json}}', json.dumps(each))
                for key, each in node.items()
            )
        return '' if node is None else match[2]

    text = re.sub(
        r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S
    )
    text = re.sub(
        r'\{\{([\w.]+)\|json\}\}',
        lambda match: json.dumps(resolve(match[1])),
        text,
    )
    return re.sub(
        r'\{\{([\w.]+)\}\}', lambda match: str(resolve(match[1])), text
    )


def platform_fields(name, zone, store_port):
    """Return the template fields that the platform sets for one VM."""
    ports = free_ports(5)
    return {
        'node_name': name,
        'zone': zone,
        'region': ZONES[zone],
        'zones': dict(ZONES),
        'ip': '127.0.0.1',
        'listen': {
            'front': f'127.0.0.1:{ports[0]}',
            'ready': f'127.0.0.1:{ports[1]}',
            'directory': f'127.0.0.1:{ports[2]}',
        },
        'internal_ports': ports[3:],
        'platform': {'address': f'127.0.0.1:{store_port}'},
        'bounds': {
            'grace_s': 1.2,
            'retry_budget_ratio': 0.2,
            'budget_window_s': 10,
            'budget_extra_tries': 64,
            'cold_overshoot': 1.5,
            'cold_slack': 5,
            'ttl_max_s': 5,
        },
    }


def configuration(version=1, routes=(), workspaces=(), **limits):
    """Return a configuration document as the operator writes it.

    Args:
        version: Number of the version.
        routes: Specs of the routes, without what all routes share.
        workspaces: Pairs of the name and the spec of a workspace.
        limits: Limits on callers that differ from the usual ones.
    """
    resources = [
        {
            'entry_kind': 'routes',
            'metadata': {'name': f'route-{index}'},
            'spec': {
                'host': 'quotes.example',
                'priority': 1,
                'slo_latency_s': 0.4,
                'timeout_s': 2,
                'max_attempts': 2,
                'sticky': True,
                'home_regions': [],
                **route,
            },
        }
        for index, route in enumerate(routes)
    ]
    resources.append(
        {
            'entry_kind': 'services',
            'metadata': {'name': 'tariffs'},
            'spec': {
                'health_path': '/health',
                'max_conns': 100,
                'cold_start_s': 3,
                'cold_per_s': 7.7,
            },
        }
    )
    resources.append(
        {
            'entry_kind': 'limits',
            'metadata': {},
            'spec': {
                'max_header_bytes': 4096,
                'max_body_bytes': 100_000,
                'header_timeout_s': 3,
                'idle_timeout_s': 15,
                **limits,
            },
        }
    )
    resources.extend(
        {'entry_kind': 'tenants', 'metadata': {'name': name}, 'spec': spec}
        for name, spec in workspaces
    )
    return {'version': f'{version:08x}', 'resources': resources}


def _route(kind):
    return MappingProxyType(
        {
            'path_prefix': f'/{kind}/',
            'kind': kind,
            'service': 'tariffs',
        }
    )


SAFE = _route('safe')
UNSAFE = _route('unsafe')
UPLOAD = _route('upload')


@attrs.define(eq=False)
class PlatformDeployment:
    """A store, upstreams and entry VMs on loopback."""

    folder: Path
    store: PlatformStore = attrs.field(factory=PlatformStore)
    store_port: int = attrs.field(factory=free_port)
    template_fields: dict = attrs.field(factory=dict)
    gateways: list = attrs.field(factory=list)
    fields: list = attrs.field(factory=list)
    upstreams: list = attrs.field(factory=list)
    restarts: set = attrs.field(factory=set)

    async def start(
        self, *, routes=(SAFE, UNSAFE, UPLOAD), upstreams=2, workspaces=()
    ):
        await self.store.start(self.store_port)
        await self.configure(1, routes, workspaces=workspaces)
        for index in range(upstreams):
            await self.add_upstream(f'i-{index}')

    async def configure(self, version, routes, **limits):
        document = configuration(version, routes, **limits)
        await self.store.put('config', 'main', document)

    async def add_upstream(self, name, **options):
        upstream = PlatformUpstream(name, 'tariffs', **options)
        await upstream.start()
        self.upstreams.append(upstream)
        await self.store.put('servers', name, upstream.spec)
        return upstream

    def restart_after_crash(self, pause_s):
        """Restart each upstream that crashes, under its id and address."""

        async def restart(upstream):
            await asyncio.sleep(pause_s)
            upstream.born_ms += 60_000
            await upstream.start(upstream.port)
            await self.store.put('servers', upstream.id, upstream.spec)

        def schedule(upstream):
            self.restarts.add(asyncio.create_task(restart(upstream)))

        for each in self.upstreams:
            each.on_end = schedule

    def answer_with(self, reply):
        """Script the next response of each upstream."""
        for upstream in self.upstreams:
            upstream.script = [reply]

    def settings(self, name, zone='ovd-a'):
        fields = platform_fields(name, zone, self.store_port)
        fields.update(self.template_fields)
        path = self.folder / f'{name}.toml'
        path.write_text(render(TEMPLATE.read_text(), fields))
        self.fields.append(fields)
        return path

    async def add_gateway(self, name='front-1', zone='ovd-a'):
        path = self.settings(name, zone)
        gateway = Gateway(load_settings(path, GatewaySettings))
        await gateway.start()
        self.gateways.append(gateway)
        await eventually(lambda: gateway.is_ready)
        return gateway

    async def stop(self):
        for gateway in self.gateways:
            await gateway.stop()
        for restart in self.restarts:
            restart.cancel()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()

    def address(self, kind='front', index=0):
        host, _, port = self.fields[index]['listen'][kind].partition(':')
        return host, int(port)


async def eventually(holds, seconds=10):
    """Poll until a condition holds, at most `seconds`."""
    async with asyncio.timeout(seconds):
        while not holds():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def deployed(folder, template_fields=(), **options):
    """Run a deployment with one entry VM.

    Args:
        folder: Folder for settings files.
        template_fields: Fields of the settings template that differ.
        options: Arguments of `PlatformDeployment.start`.
    """
    deployment = PlatformDeployment(
        folder, template_fields=dict(template_fields)
    )
    await deployment.start(**options)
    await deployment.add_gateway()
    try:
        yield deployment
    finally:
        await deployment.stop()


def head(
    path,
    method='GET',
    attempt='a1',
    deadline=1500,
    extra='',
):
    """Return the head of a caller's request."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: quotes.example\r\n'
        f'Attempt-Id: {attempt}\r\nCookie: Affinity-Key=17\r\n'
        f'Deadline-Remaining: {deadline}\r\n{extra}\r\n'
    ).encode()


async def read_answer(reader):
    """Return status, headers and body of the next response."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.split(b'\r\n')
    headers = dict(
        line.decode().lower().split(': ', 1) for line in lines[1:] if line
    )
    status = int(lines[0].split(b' ')[1])
    if headers.get('transfer-encoding') == 'chunked':
        body = b''
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return status, headers, body
    length = int(headers.get('content-length', 0))
    return status, headers, await reader.readexactly(length)


async def ask(address, request, local_address=None):
    """Send one request on its own connection and return the response."""
    reader, writer = await asyncio.open_connection(
        *address, local_addr=local_address
    )
    with contextlib.ExitStack() as stack:
        stack.callback(writer.close)
        writer.write(request)
        async with asyncio.timeout(10):
            return await read_answer(reader)
