"""Metrics of one entry VM."""

from typing import Final, final

import attrs

from catkindrift.gateway._metric import Durations, Labeled, Sample

_KIND: Final = 'kind'


def _labeled(label: str, text: str, *, is_gauge: bool = False) -> Labeled:
    field: Labeled = attrs.field(
        init=False,
        factory=lambda: Labeled(label, is_gauge),
        metadata={'text': text},
    )
    return field


def _gauge(text: str) -> Sample:
    field: Sample = attrs.field(
        init=False, factory=Sample, metadata={'text': text}
    )
    return field


def _durations(text: str) -> Durations:
    field: Durations = attrs.field(
        init=False, factory=Durations, metadata={'text': text}
    )
    return field


@final
@attrs.define(eq=False, repr=False)
class GatewayMetrics:
    """Values of all metrics; label values come from small fixed sets.

    The name of a metric is that of its field, its help text is in the field's
    metadata.
    """

    build_info: Labeled = _labeled(
        'digest', 'Build that this process runs', is_gauge=True
    )
    answers: Labeled = _labeled('status', 'Answers')
    refusals: Labeled = _labeled('reason', 'Refusals')
    rejected_requests: Labeled = _labeled(
        'reason', 'Requests that violate HTTP or a limit'
    )
    ignored_connection_options: Labeled = _labeled(
        'option', 'Options of Connection that name a header for all recipients'
    )
    choices: Labeled = _labeled('reason', 'Upstreams chosen')
    failures: Labeled = _labeled('kind', 'Failed attempts')
    crash_blame: Labeled = _labeled(
        'change', 'Requests blamed for the crash of an upstream'
    )
    upstream_limit_changes: Labeled = _labeled(
        'change', 'Limits that upstreams have named, changed or ended'
    )
    invalid_load_figures: Labeled = _labeled(
        'figure', 'Missing and invalid figures in load reports'
    )
    load_imbalance: Labeled = _labeled(
        'service', 'Largest over mean estimated load per slot', is_gauge=True
    )
    limited_upstreams: Sample = _gauge('Upstreams that name a limit')
    sharing_entry_vms: Sample = _gauge(
        'Entry VMs among which this one divides common limits'
    )
    cold_upstreams: Sample = _gauge(
        'Upstreams that get requests at the cold rate'
    )
    cut_off: Sample = _gauge(
        'Whether this entry VM reaches no upstream, others do'
    )
    reachability_probes: Labeled = _labeled(
        'reached', 'Probes of several upstreams at a time'
    )
    handovers: Labeled = _labeled(
        'outcome', 'Requests handed to other entry VMs'
    )
    handed_over_requests: Labeled = _labeled(
        'decision', 'Requests that other entry VMs hand over'
    )
    shutdown_requests: Labeled = _labeled(
        'outcome', 'Requests during a shutdown, by what became of them'
    )
    queued_requests: Labeled = _labeled(
        'attempt', 'Requests that waited for room at an upstream'
    )
    queue_seconds: Durations = _durations('Time that requests waited for room')
    quota_requests: Labeled = _labeled(
        'decision', 'Requests of workspaces with a quota'
    )
    quota_messages: Labeled = _labeled(
        _KIND, 'Messages about quotas to other entry VMs'
    )
    extra_attempts: Labeled = _labeled(
        'granted', 'Attempts beyond the first of a request'
    )
    upstream_connections_opened: Labeled = _labeled(
        'outcome', 'Connections to upstreams'
    )
    job_restarts: Labeled = _labeled(
        'job', 'Background jobs that were started again after an error'
    )
    store_calls: Labeled = _labeled(
        'method', 'Calls to the platform store since the start', is_gauge=True
    )
    store_unreadable_entries: Labeled = _labeled(
        _KIND,
        'Entries of the platform store that could not be read, at each reading',
    )
    store_silences: Labeled = _labeled(
        'source', 'Silences of connections to the store, found or heard of'
    )
    store_confirmation_age_ms: Labeled = _labeled(
        _KIND,
        'Time since the store held nothing newer, as far as is known',
        is_gauge=True,
    )
    store_requests: Labeled = _labeled(
        'request', 'Calls to the platform store by what was asked'
    )
    answer_seconds: Durations = _durations(
        'Time from the request head to the response'
    )
