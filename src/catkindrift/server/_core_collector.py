"""Prometheus metrics that are read from the decision core on a scrape."""

from collections.abc import Callable, Iterable
from typing import final

import attrs
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from catkindrift.core import EntryCore, Invariant
from catkindrift.domain import DrainIntent
from catkindrift.store import CallGate, GuardedPlatform

_MILLISECONDS_PER_SECOND = 1000
_SERVICE = 'service'
_Families = list[Metric]
_CallOnLoop = Callable[[Callable[[], _Families]], _Families]


@final
@attrs.define(eq=False, repr=False)
class CoreCollector(Collector):
    """Collects counters and gauges on the event loop.

    Args:
        core: Decision core to read.
        platform: Platform client, which counts resolved writes.
        gate: Rate limit and circuit breaker, which count platform calls.
        call_on_loop: Runs a function on the event loop and returns its
            result.
    """

    _core: EntryCore
    _platform: GuardedPlatform
    _gate: CallGate
    _call_on_loop: _CallOnLoop

    def collect(self) -> Iterable[Metric]:
        """Return all metric families."""
        return self._call_on_loop(self._read_core)

    def _read_core(self) -> list[Metric]:
        return [
            *self._request_metrics(),
            *self._invariant_metrics(),
            *self._capacity_metrics(),
            *self._state_metrics(),
            self._drain_metric(),
            *self._platform_metrics(),
        ]

    def _request_metrics(self) -> list[Metric]:
        budget = self._core.state.retry_budget
        return [
            _counter(
                'catkindrift_requests',
                'Requests accepted',
                budget.requests,
            ),
            _counter(
                'catkindrift_retries',
                'Attempts beyond the first of a request',
                budget.retries,
            ),
            self._answer_metric(),
            self._refusal_metric(),
            self._moved_requests_metric(),
            self._shutdown_metric(),
        ]

    def _answer_metric(self) -> Metric:
        responses = CounterMetricFamily(
            'catkindrift_answers',
            'Responses of upstreams by the first digit of their status',
            labels=(_SERVICE, 'status_class'),
        )
        for key, count in self._core.state.response_counts.items():
            labels = (key.service, str(key.status_class))
            responses.add_metric(labels, count)
        return responses

    def _refusal_metric(self) -> Metric:
        refusals = CounterMetricFamily(
            'catkindrift_refusals',
            'Requests refused without a response from an upstream',
            labels=(_SERVICE, 'reason', 'outcome'),
        )
        for refusal, count in self._core.state.refusal_counts.items():
            refusals.add_metric(attrs.astuple(refusal), count)
        return refusals

    def _moved_requests_metric(self) -> Metric:
        moved = CounterMetricFamily(
            'catkindrift_moved_requests',
            'Requests that a shift moved to another region',
            labels=('shift',),
        )
        for shift, count in self._core.state.moved_counts.items():
            moved.add_metric((shift,), count)
        return moved

    def _shutdown_metric(self) -> Metric:
        requests = CounterMetricFamily(
            'catkindrift_shutdown_requests',
            'Requests during a shutdown by what became of them',
            labels=('outcome',),
        )
        for outcome, count in self._core.state.shutdown_counts.items():
            requests.add_metric((outcome,), count)
        return requests

    def _drain_metric(self) -> Metric:
        drains = GaugeMetricFamily(
            'catkindrift_longest_drain_seconds',
            'Longest time from confirmation to empty of the stored drain plans',
            labels=('scope',),
        )
        longest: dict[str, int] = {}
        configuration = self._core.state.active_config.configuration
        for plan in configuration.plans:
            if isinstance(plan.intent, DrainIntent) and plan.drain_time_ms:
                scope = plan.intent.drain.scope.value
                previous_ms = longest.get(scope, 0)
                longest[scope] = max(previous_ms, plan.drain_time_ms)
        for scope, drain_ms in longest.items():
            drains.add_metric((scope,), drain_ms / _MILLISECONDS_PER_SECOND)
        return drains

    def _invariant_metrics(self) -> list[Metric]:
        invariants = self._core.state.invariants
        checked = CounterMetricFamily(
            'catkindrift_invariants_checked',
            'Checks of an invariant',
            labels=('invariant',),
        )
        breached = CounterMetricFamily(
            'catkindrift_invariants_breached',
            'Checks of an invariant that failed',
            labels=('invariant',),
        )
        for invariant in Invariant:
            label = (invariant.value,)
            checked.add_metric(label, invariants.checked[invariant])
            breached.add_metric(label, invariants.breached[invariant])
        return [checked, breached]

    def _capacity_metrics(self) -> list[Metric]:
        slots = GaugeMetricFamily(
            'catkindrift_slots',
            'Slots that this entry VM owns for a service',
            labels=(_SERVICE, 'state'),
        )
        waiting = GaugeMetricFamily(
            'catkindrift_waiting_requests',
            'Requests queued for a slot',
            labels=(_SERVICE,),
        )
        configuration = self._core.state.active_config.configuration
        for service in configuration.services:
            owned_slots, taken_slots = self._core.slots.capacity(service.name)
            slots.add_metric((service.name, 'free'), owned_slots - taken_slots)
            slots.add_metric((service.name, 'taken'), taken_slots)
            queue = self._core.state.queues.get(service.name, ())
            waiting.add_metric((service.name,), len(queue))
        return [slots, waiting]

    def _state_metrics(self) -> list[Metric]:
        state = self._core.state
        confirmed_age = -1.0
        if state.confirmed_ms is not None:
            age_ms = state.clock.now_ms() - state.confirmed_ms
            confirmed_age = age_ms / _MILLISECONDS_PER_SECOND
        identity = state.identity
        info = GaugeMetricFamily(
            'catkindrift_info',
            'Identity of the entry VM',
            labels=('vm', 'zone', 'region'),
        )
        info.add_metric((identity.name, identity.zone, identity.region), 1)
        return [
            info,
            _gauge(
                'catkindrift_configuration_revision',
                'Configuration revision in force',
                state.active_config.revision,
            ),
            _gauge(
                'catkindrift_configuration_confirmed_age_seconds',
                'Time since the revision was last confirmed as the newest; '
                '-1 if never',
                confirmed_age,
            ),
            _gauge(
                'catkindrift_pending_requests',
                'Requests without a final response',
                len(state.pending),
            ),
            _gauge(
                'catkindrift_alive_entry_vms',
                'Alive entry VMs, including this one',
                len(state.members.alive_records()) + 1,
            ),
        ]

    def _platform_metrics(self) -> list[Metric]:
        calls = CounterMetricFamily(
            'catkindrift_platform_calls',
            'Platform calls, made or refused locally',
            labels=('state',),
        )
        calls.add_metric(('made',), self._gate.calls_made)
        calls.add_metric(('refused',), self._gate.calls_refused)
        resolved = _counter(
            'catkindrift_platform_writes_resolved',
            'Writes with a lost response that were found to have succeeded',
            self._platform.writes_resolved,
        )
        return [calls, resolved]


def _counter(name: str, text: str, count: float) -> CounterMetricFamily:
    return CounterMetricFamily(name, text, value=count)


def _gauge(name: str, text: str, level: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(name, text, value=level)
