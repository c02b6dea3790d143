"""Background jobs that fail."""

import asyncio

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._supervisor import Supervisor
from tests.platform_deployment import SAFE, UNSAFE, deployed, eventually


def run(test):
    return asyncio.run(test)


def test_failed_job_is_started_again(caplog):
    """Guard against a loop that ends for good on one unexpected error."""
    calls = []

    async def job():
        calls.append(len(calls))
        if len(calls) < 3:
            raise KeyError('unexpected')
        await asyncio.sleep(60)

    async def scenario():
        supervisor = Supervisor(GatewayMetrics())
        task = asyncio.create_task(supervisor.keep_running('job', job))
        await eventually(lambda: len(calls) == 3)
        task.cancel()
        return supervisor

    supervisor = run(scenario())
    assert supervisor._metrics.job_restarts.labels('job').total == 2
    assert 'background job job failed' in caplog.text


def test_watch_goes_on_after_an_unexpected_error(tmp_path):
    """A change that can't be applied costs itself, not those after it."""

    async def scenario():
        async with deployed(tmp_path, routes=(SAFE,)) as deployment:
            state = deployment.gateways[0]._parts.state
            apply = state.registry.put
            failures = []

            def fail_once(*args):
                if not failures:
                    failures.append(args)
                    raise KeyError('unexpected')
                apply(*args)

            object.__setattr__(state, 'registry', _Failing(state, fail_once))
            await deployment.add_upstream('i-bad')
            await eventually(lambda: failures)
            await deployment.configure(2, (SAFE, UNSAFE))
            await deployment.add_upstream('i-good')
            await eventually(lambda: state.configuration.version == 2)
            await eventually(lambda: state.registry.find('i-good'))

    run(scenario())


class _Failing:
    """A registry whose method `put` is replaced."""

    def __init__(self, state, put):
        self._registry = state.registry
        self.put = put

    def __getattr__(self, name):
        return getattr(self._registry, name)
