"""Starts entry VMs as the platform does, from deploy/system.toml."""

import asyncio
import json
import os
import re
import tomllib
from pathlib import Path

from ports import free_port

ROOT = Path(__file__).resolve().parents[2]
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_JSON = re.compile(r'\{\{([\w.]+)\|json\}\}')
_PLAIN = re.compile(r'\{\{([\w.]+)\}\}')


class CouldNotRun(Exception):
    """The case could not run, which shows nothing about the rule."""


def render(template, fields):
    """Fill a template with fields, as DEPLOY.md says (what this one uses)."""

    def find(path):
        node = fields
        for step in path.split('.'):
            if node is None:
                return None
            node = node[int(step)] if isinstance(node, list) else node.get(step)
        return node

    def section(match):
        node = find(match[1])
        if isinstance(node, dict):
            return ''.join(
                match[2]
                .replace('{{@}}', key)
                .replace('{{.|json}}', json.dumps(each))
                for key, each in node.items()
            )
        return '' if node is None or node is False else match[2]

    text = _SECTION.sub(section, template)
    text = _JSON.sub(lambda match: json.dumps(find(match[1])), text)
    return _PLAIN.sub(lambda match: str(find(match[1])), text)


class EntryVm:
    """One entry VM as a process of its own."""

    def __init__(self, name, zone, zones, store_port, bounds, folder):
        self.name = name
        self.zone = zone
        self.log = folder / f'{name}.log'
        self._process = None
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        self._command = role['run'].split()
        self._fields = {
            'node_name': name,
            'zone': zone,
            'region': zones[zone],
            'zones': zones,
            'ip': '127.0.0.1',
            'platform': {
                'address': f'127.0.0.1:{store_port}',
                'history_s': 20,
            },
            'bounds': bounds,
        }
        self._settings = folder / f'{name}.toml'
        self._template = (ROOT / role['template']).read_text()
        self._choose_ports()

    def _choose_ports(self):
        ports = [free_port() for _ in range(5)]
        self.front, self.ready, self.directory = ports[:3]
        listen = {
            'front': f'127.0.0.1:{self.front}',
            'ready': f'127.0.0.1:{self.ready}',
            'directory': f'127.0.0.1:{self.directory}',
        }
        fields = {
            **self._fields,
            'listen': listen,
            'internal_ports': ports[3:],
        }
        self._settings.write_text(render(self._template, fields))

    async def start(self):
        """Start the process."""
        kept = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env['CATKINDRIFT_SETTINGS'] = str(self._settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self.log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, longest_s=20):
        """Wait until the process says that it is ready."""
        try:
            async with asyncio.timeout(longest_s):
                while not await self._is_ready():
                    if self._process.returncode is not None:
                        told = self.log.read_text(errors='replace')[-600:]
                        if 'cannot listen on' in told:
                            # Another program has taken the port meanwhile.
                            self.log.unlink()
                            self._choose_ports()
                            await self.start()
                            continue
                        raise CouldNotRun(
                            f'{self.name} ended at its start: {told}'
                        )
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise CouldNotRun(f'{self.name} was not ready in time') from None

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ready
            )
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b' 200 ' in line

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    async def end(self):
        """End the process, if it still runs."""
        if self.is_running:
            self._process.kill()
            await self._process.wait()
