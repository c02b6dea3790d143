"""Lifecycle of an entry VM."""

import asyncio
import random
from typing import Any, final

import attrs
from absl import logging

from catkindrift.build import running_build
from catkindrift.clock import Clock, SystemClock
from catkindrift.core import CoreClosed, EntryCore, Ticked
from catkindrift.entry_settings import EntrySettings
from catkindrift.errors import CannotListenError
from catkindrift.jitter import jittered
from catkindrift.server._composition import Composition
from catkindrift.server._planned_stop import PlannedStop

_BUSY_TICK_SECONDS = 0.02
_IDLE_TICK_SECONDS = 0.1
_CLAIM_RETRY_INTERVAL_SECONDS = 1.0
_DRAIN_POLL_SECONDS = 0.05
# Upstreams that close idle connections do so after a few seconds.
_PRUNE_INTERVAL_SECONDS = 2.0
_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False, repr=False)
class EntryVm:
    """Starts, runs and stops one entry VM on the running event loop.

    Args:
        settings: Validated settings.
        clock: Source of time.
        rng: Source of randomness for jitter.
    """

    _settings: EntrySettings
    _clock: Clock = attrs.field(factory=SystemClock)
    _rng: random.Random = attrs.field(factory=random.Random)
    _parts: Composition = attrs.field(init=False)
    _tasks: list['asyncio.Task[Any]'] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        """Create all parts; must run on the event loop."""
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
        """Listen, load the configuration, and start the background tasks.

        Raises:
            CannotListenError: An address is in use or cannot be bound.
        """
        parts = self._parts
        logging.info('runs build %s', running_build().digest)
        try:
            await self._listen()
        except CannotListenError:
            await self.close()
            raise
        await parts.watcher.load_once()
        await parts.exchange.bootstrap()
        for coroutine in (
            parts.watcher.watch_configuration(),
            parts.watcher.poll_vm_list(),
            parts.plan_runner.run(),
            self._tick(),
            self._run_exchange_rounds(),
            self._publish_record_changes(),
            self._retry_claims(),
            self._prune_connections(),
        ):
            task = asyncio.create_task(coroutine)
            task.add_done_callback(_log_unexpected_end)
            self._tasks.append(task)
        logging.info('%s: serving callers', self.name)

    async def stop(self) -> None:
        """Finish requests in progress, within the stop timeout, then close."""
        logging.info('%s: stopping, finishing requests in flight', self.name)
        await PlannedStop(self._clock, self._parts).run()
        await self.close()
        logging.info('%s: stopped', self.name)

    async def close(self) -> None:
        """Close at once; requests in flight are aborted."""
        await self._cancel_tasks()
        await self._close_callers()
        parts = self._parts
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, parts.operator_server.stop)
        parts.pool.close()
        parts.effect_runner.close()
        parts.peer_client.close()
        parts.peer_listener.close()
        parts.http_platform.close()

    async def _close_callers(self) -> None:
        self._parts.post(CoreClosed())
        # Gives requests that were just refused time to get their response.
        await asyncio.sleep(_DRAIN_POLL_SECONDS)
        self._parts.caller_server.close()

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _listen(self) -> None:
        callers, _, _ = self._settings.listen.endpoints
        await self._parts.peer_listener.start()
        self._parts.operator_server.start()
        await self._parts.caller_server.start(callers.host, callers.port)

    async def _tick(self) -> None:
        while True:
            is_busy = self.core.has_waiting_requests
            await asyncio.sleep(
                _BUSY_TICK_SECONDS if is_busy else _IDLE_TICK_SECONDS
            )
            self._parts.post(Ticked())

    async def _run_exchange_rounds(self) -> None:
        interval_ms = self._settings.peers.exchange_interval_ms
        while True:
            pause_ms = jittered(self._rng, interval_ms)
            await asyncio.sleep(pause_ms / _MILLISECONDS_PER_SECOND)
            await self._parts.exchange.run_round()

    async def _publish_record_changes(self) -> None:
        record_changed = self._parts.record_changed
        while True:
            await record_changed.wait()
            record_changed.clear()
            await self._parts.exchange.publish()

    async def _retry_claims(self) -> None:
        while True:
            await asyncio.sleep(
                jittered(self._rng, _CLAIM_RETRY_INTERVAL_SECONDS)
            )
            await self._parts.claims.retry_pending()

    async def _prune_connections(self) -> None:
        while True:
            await asyncio.sleep(_PRUNE_INTERVAL_SECONDS)
            upstreams = self.core.state.upstreams
            self._parts.upstream_sender.prune(each.vm for each in upstreams)


def _log_unexpected_end(task: 'asyncio.Task[Any]') -> None:
    """Log the exception that ended a background task.

    Background tasks run until they are cancelled.
    """
    if task.cancelled():
        return
    logging.error(
        'a background task ended unexpectedly, restart this VM: %s',
        task.exception(),
    )
