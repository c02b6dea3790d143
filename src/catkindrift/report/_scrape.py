"""Conversion of entry VM metrics into samples."""

from collections.abc import Iterable
from typing import Any

import attrs
from prometheus_client.parser import text_string_to_metric_families

from catkindrift.errors import InvalidInputError
from catkindrift.report._sample import Sample, ServiceCount

# Refusals caused by the caller; they don't count against availability.
_CALLER_ERROR_REASONS = frozenset(
    (
        'unknown_service',
        'idempotency_key_missing',
        'idempotency_key_reused',
        'request_in_progress',
        'request_already_run',
        'quarantined',
        'body_too_large',
    ),
)
_SERVER_ERROR_CLASS = '5'


@attrs.define
class _Tally:
    answered: float = 0
    failed: float = 0
    reasons: dict[str, float] = attrs.field(factory=dict)
    completed: float = 0
    buckets: dict[str, float] = attrs.field(factory=dict)


def parse_metrics(text: str, wall_ms: int) -> Sample:
    """Parse the response of an entry VM's metrics endpoint.

    Args:
        text: Metrics in the Prometheus text format.
        wall_ms: Time of the sample in Unix milliseconds.

    Raises:
        InvalidInputError: The metrics are not those of an entry VM.
    """
    tallies: dict[str, _Tally] = {}
    identity: dict[str, str] = {}
    drains: list[float] = []
    for metric in _metric_samples(text):
        match metric.name:
            case 'catkindrift_info':
                identity = metric.labels
            case 'catkindrift_longest_drain_seconds':
                drains.append(metric.value)
            case _:
                _add_to_tally(tallies, metric)
    if not identity:
        raise InvalidInputError(
            'no catkindrift_info in the metrics; name the operator address '
            'of an entry VM',
        )
    counts = {
        service: ServiceCount(service, **attrs.asdict(tally))
        for service, tally in tallies.items()
    }
    return Sample(
        wall_ms,
        identity['vm'],
        identity['region'],
        counts,
        max(drains, default=None),
    )


def _metric_samples(text: str) -> Iterable[Any]:
    for family in text_string_to_metric_families(text):
        yield from family.samples


def _add_to_tally(tallies: dict[str, _Tally], metric: Any) -> None:
    service = metric.labels.get('service', '')
    if not service:
        return
    tally = tallies.setdefault(service, _Tally())
    match metric.name:
        case 'catkindrift_answers_total':
            if metric.labels['status_class'] == _SERVER_ERROR_CLASS:
                _add_failure(tally, 'server_error', metric.value)
            else:
                tally.answered += metric.value
        case 'catkindrift_refusals_total':
            if metric.labels['reason'] not in _CALLER_ERROR_REASONS:
                _add_failure(tally, metric.labels['reason'], metric.value)
        case 'catkindrift_request_seconds_count':
            tally.completed += metric.value
        case 'catkindrift_request_seconds_bucket':
            bound = metric.labels['le']
            tally.buckets[bound] = tally.buckets.get(bound, 0) + metric.value


def _add_failure(tally: _Tally, reason: str, count: float) -> None:
    tally.failed += count
    tally.reasons[reason] = tally.reasons.get(reason, 0) + count
