"""Metrics of one entry VM."""

from typing import final

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram


@final
@attrs.define(eq=False)
class GatewayMetrics:
    """Prometheus metrics; label values come from small fixed sets."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    answers: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    choices: Counter = attrs.field(init=False)
    failures: Counter = attrs.field(init=False)
    blame: Counter = attrs.field(init=False)
    limit_changes: Counter = attrs.field(init=False)
    limited_upstreams: Gauge = attrs.field(init=False)
    sharing_vms: Gauge = attrs.field(init=False)
    cold_upstreams: Gauge = attrs.field(init=False)
    cut_off: Gauge = attrs.field(init=False)
    probes: Counter = attrs.field(init=False)
    handovers: Counter = attrs.field(init=False)
    handed_over: Counter = attrs.field(init=False)
    extra_attempts: Counter = attrs.field(init=False)
    connections_opened: Counter = attrs.field(init=False)
    store_calls: Gauge = attrs.field(init=False)
    answer_seconds: Histogram = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the metrics in the registry."""
        self.answers = self._counter('answers', 'Answers', 'status')
        self.refusals = self._counter('refusals', 'Refusals', 'reason')
        self.choices = self._counter('choices', 'Upstreams chosen', 'reason')
        self.failures = self._counter('failures', 'Failed attempts', 'kind')
        self.blame = self._counter(
            'crash_blame',
            'Requests blamed for the crash of an upstream',
            'change',
        )
        self.limit_changes = self._counter(
            'upstream_limit_changes',
            'Limits that upstreams have named, changed or ended',
            'change',
        )
        self.limited_upstreams = self._gauge(
            'limited_upstreams', 'Upstreams that name a limit'
        )
        self.sharing_vms = self._gauge(
            'sharing_entry_vms',
            'Entry VMs among which this one divides common limits',
        )
        self.cold_upstreams = self._gauge(
            'cold_upstreams', 'Upstreams that get requests at the cold rate'
        )
        self.cut_off = self._gauge(
            'cut_off', 'Whether this entry VM reaches no upstream, others do'
        )
        self.probes = self._counter(
            'reachability_probes',
            'Probes of several upstreams at a time',
            'reached',
        )
        self.handovers = self._counter(
            'handovers', 'Requests handed to other entry VMs', 'outcome'
        )
        self.handed_over = self._counter(
            'handed_over_requests',
            'Requests that other entry VMs hand over',
            'decision',
        )
        self.extra_attempts = self._counter(
            'extra_attempts',
            'Attempts beyond the first of a request',
            'granted',
        )
        self.connections_opened = self._counter(
            'upstream_connections_opened',
            'Connections to upstreams',
            'outcome',
        )
        self.store_calls = Gauge(
            'catkindrift_store_calls',
            'Calls to the platform store since the start',
            ['method'],
            registry=self.registry,
        )
        self.answer_seconds = Histogram(
            'catkindrift_answer_seconds',
            'Time from the request head to the response',
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f'catkindrift_{name}', text, registry=self.registry)

    def _counter(self, name: str, text: str, label: str) -> Counter:
        return Counter(
            f'catkindrift_{name}',
            text,
            [label],
            registry=self.registry,
        )
