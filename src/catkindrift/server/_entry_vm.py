"""Life of an entry VM."""

import asyncio
import random
from typing import Any, final

import attrs
from absl import logging

from catkindrift.clock import Clock, SystemClock
from catkindrift.core import EntryCore, StopRequested, Ticked
from catkindrift.errors import CannotListenError
from catkindrift.limits import jittered
from catkindrift.server._composition import Composition
from catkindrift.settings import EntrySettings

_TICK_SECONDS = 0.02
_IDLE_SECONDS = 0.1
_CLAIM_RETRY_SECONDS = 1.0
_IDLE_POLL_SECONDS = 0.05
# Upstreams that close idle connections do so after some seconds.
_PRUNE_SECONDS = 2.0
_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False)
class EntryVm:
    """Starts, runs and stops the parts of one entry VM on one loop.

    Args:
        settings: Checked settings.
        clock: Source of time.
        rng: Source of jitter.
    """

    _settings: EntrySettings
    _clock: Clock = attrs.field(factory=SystemClock)
    _rng: random.Random = attrs.field(factory=random.Random)
    _parts: Composition = attrs.field(init=False)
    _tasks: list['asyncio.Task[Any]'] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        """Wire all parts; has to be called on the loop."""
        self._parts = Composition(self._settings, self._clock, self._rng)

    @property
    def name(self) -> str:
        """Return the name of the VM."""
        return self._settings.vm.name

    @property
    def core(self) -> EntryCore:
        """Return the decision core."""
        return self._parts.core

    async def start(self) -> None:
        """Listen, learn the configuration, and serve.

        Raises:
            CannotListenError: An address is in use or cannot be bound.
        """
        parts = self._parts
        try:
            await self._listen()
        except CannotListenError:
            await self.close()
            raise
        await parts.watcher.load_once()
        await parts.exchange.bootstrap()
        for job in (
            parts.watcher.watch_configuration(),
            parts.watcher.poll_vm_list(),
            parts.plans.run(),
            self._tick(),
            self._exchange_rounds(),
            self._publish_news(),
            self._retry_claims(),
            self._close_old_connections(),
        ):
            task = asyncio.create_task(job)
            task.add_done_callback(_report_end)
            self._tasks.append(task)
        logging.info('%s: serving callers', self.name)

    async def stop(self) -> None:
        """Finish what is in flight, then end.

        Look-ups stop naming this VM at once. Callers that hold an older
        answer are served until its lifetime has passed.
        """
        self._parts.post(StopRequested())
        self._parts.callers.drain()
        logging.info('%s: stopping, finishing requests', self.name)
        limit_ms = self._settings.limits.stop_timeout_ms
        until_ms = self._clock.now_ms() + limit_ms
        while not self.core.is_idle and self._clock.now_ms() < until_ms:
            await asyncio.sleep(_IDLE_POLL_SECONDS)
        await self.close()
        logging.info('%s: stopped', self.name)

    async def close(self) -> None:
        """End at once; requests in flight are cut off."""
        await self._end_tasks()
        await self._close_callers()
        parts = self._parts
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, parts.operators.stop)
        parts.runner.close()
        parts.peers.close()
        parts.peer_listener.close()
        parts.http_platform.close()

    async def _close_callers(self) -> None:
        self._parts.decisions.close()
        # Lets requests that were refused just now be answered.
        await asyncio.sleep(_IDLE_POLL_SECONDS)
        self._parts.callers.close()
        self._parts.pool.close()

    async def _end_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _listen(self) -> None:
        callers, _, _ = self._settings.listen.endpoints
        await self._parts.peer_listener.start()
        self._parts.operators.start()
        await self._parts.callers.start(callers.host, callers.port)

    async def _tick(self) -> None:
        while True:
            is_busy = self.core.has_waiting_requests
            await asyncio.sleep(_TICK_SECONDS if is_busy else _IDLE_SECONDS)
            self._parts.post(Ticked())

    async def _exchange_rounds(self) -> None:
        interval_ms = self._settings.peers.exchange_interval_ms
        while True:
            pause_ms = jittered(self._rng, interval_ms)
            await asyncio.sleep(pause_ms / _MILLISECONDS_PER_SECOND)
            await self._parts.exchange.run_round()

    async def _publish_news(self) -> None:
        news = self._parts.news
        while True:
            await news.wait()
            news.clear()
            await self._parts.exchange.publish()

    async def _retry_claims(self) -> None:
        while True:
            await asyncio.sleep(jittered(self._rng, _CLAIM_RETRY_SECONDS))
            await self._parts.claims.retry_pending()

    async def _close_old_connections(self) -> None:
        while True:
            await asyncio.sleep(_PRUNE_SECONDS)
            known = self.core.state.upstreams
            self._parts.upstreams.prune(each.vm for each in known)


def _report_end(task: 'asyncio.Task[Any]') -> None:
    """Log why periodic work ended, which it never should by itself."""
    if task.cancelled():
        return
    logging.error(
        'periodic work ended, restart this VM: %s',
        task.exception(),
    )
