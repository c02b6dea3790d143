"""Metrics of one entry VM."""

from typing import final

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from catkindrift.build import running_build

_LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1,
    2,
    5,
    10,
    30,
    60,
    300,
)


@final
@attrs.define(eq=False, repr=False)
class Metrics:
    """Metrics of the path of requests; all others are read from the core.

    Args:
        registry: Registry of this entry VM.
        request_seconds: Time from dispatch to the end of the response, by
            service.
        upstream_seconds: Time from dispatch to the head of the response, by
            service.
        rejected_requests: Requests that violate HTTP or a limit, by reason.
        ignored_options: Options of Connection that name a header for all
            recipients, by option.
    """

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    request_seconds: Histogram = attrs.field(init=False)
    upstream_seconds: Histogram = attrs.field(init=False)
    rejected_requests: Counter = attrs.field(init=False)
    ignored_options: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        build = Gauge(
            'catkindrift_build_info',
            'Build that this process runs',
            ('digest',),
            registry=self.registry,
        )
        build.labels(running_build().digest).set(1)
        self.request_seconds = Histogram(
            'catkindrift_request_seconds',
            'Time from dispatch to the last response byte',
            ('service',),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.upstream_seconds = Histogram(
            'catkindrift_upstream_seconds',
            'Time from dispatch to the first response byte of the upstream',
            ('service',),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.rejected_requests = Counter(
            'catkindrift_rejected_requests',
            'Requests that violate HTTP or a limit',
            ('reason',),
            registry=self.registry,
        )
        self.ignored_options = Counter(
            'catkindrift_ignored_connection_options',
            'Options of Connection that name a header for all recipients',
            ('option',),
            registry=self.registry,
        )
