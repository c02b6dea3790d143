"""Metrics of an entry VM in the Prometheus text format."""

from collections.abc import Iterator
from typing import final

import attrs
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from catkindrift.gateway._metric import Durations, Labeled, Sample
from catkindrift.gateway._metrics import GatewayMetrics

_PREFIX = 'catkindrift_'


def metrics_text(metrics: GatewayMetrics) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry()
    registry.register(_GatewayCollector(metrics))
    return generate_latest(registry)


@final
@attrs.define(eq=False, repr=False)
class _GatewayCollector(Collector):
    _metrics: GatewayMetrics

    def collect(self) -> Iterator[Metric]:
        """Yield each metric with its samples."""
        for field in attrs.fields(GatewayMetrics):
            name = f'{_PREFIX}{field.name}'
            text = field.metadata['text']
            found = getattr(self._metrics, field.name)
            match found:
                case Labeled():
                    yield _labeled(name, text, found)
                case Sample():
                    yield GaugeMetricFamily(name, text, found.total)
                case Durations():
                    yield HistogramMetricFamily(
                        name, text, found.buckets, found.total_s
                    )


def _labeled(name: str, text: str, metric: Labeled) -> Metric:
    family_class = GaugeMetricFamily if metric.is_gauge else CounterMetricFamily
    family = family_class(name, text, labels=[metric.label])
    for label, sample in metric.samples.items():
        family.add_metric([label], sample.total)
    return family
