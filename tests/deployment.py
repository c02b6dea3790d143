"""Runs a deployment on loopback for end-to-end tests."""

import asyncio
import contextlib
import json
import threading
import time

import urllib3

from catkindrift.demo import DEMO_TOKEN, LocalDeployment, sample_deployment

POLL_SECONDS = 0.1
HTTP = urllib3.PoolManager(retries=False, timeout=30)


class RunningDeployment:
    """A deployment on an event loop in its own thread."""

    def __init__(self) -> None:
        """Start the thread and the deployment."""
        self.local = LocalDeployment(sample_deployment())
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        with contextlib.ExitStack() as stack:
            # If the start fails, a loop that still runs would block the exit
            # of the test process.
            stack.callback(self.stop)
            self.run(self.local.start())
            stack.pop_all()

    def submit(self, coroutine):
        """Schedule a coroutine on the event loop and return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run(self, coroutine):
        """Run a coroutine on the event loop and return its result."""
        return self.submit(coroutine).result(timeout=60)

    def stop(self) -> None:
        """Stop the deployment, its event loop and its thread."""
        self.run(self.local.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def callers_url(self, number: int = 0) -> str:
        """Return the URL for callers of one entry VM."""
        settings = list(self.local.settings.values())[number]
        return f'http://{settings.listen.callers}'

    def operators_url(self, number: int = 0) -> str:
        """Return the URL of the operator API of one entry VM."""
        settings = list(self.local.settings.values())[number]
        return f'http://{settings.listen.operators}'

    def operate(self, method: str, path: str, body=None):
        """Call the operator API; return the status and decoded JSON."""
        answer = HTTP.request(
            method,
            f'{self.operators_url()}{path}',
            body=b'' if body is None else json.dumps(body).encode(),
            headers={'Authorization': f'Bearer {DEMO_TOKEN}'},
        )
        return answer.status, json.loads(answer.data)

    def follow(self, name: str, seconds: float = 30):
        """Wait until a plan is done or cancelled and return it.

        After `seconds`, return the plan in its present state.
        """
        deadline = time.monotonic() + seconds
        plan = None
        while time.monotonic() < deadline:
            _, plan = self.operate('GET', f'/v1/plans/{name}')
            if plan['state'] in {'done', 'cancelled'}:
                break
            time.sleep(POLL_SECONDS)
        return plan
