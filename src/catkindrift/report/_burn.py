"""Burn of error budgets over several windows."""

from collections import Counter
from collections.abc import Iterable
from typing import final

import attrs

from catkindrift.report._objective import Objective
from catkindrift.report._sample import Sample
from catkindrift.report._series import Increase, compute_increases

_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS
_DAY_MS = 24 * _HOUR_MS
# A fast burn spends 2% of a month's budget in an hour, a slow one 5% in six.
_FAST_RATE = 14.4
_SLOW_RATE = 6
_NONE = 'none'


@final
@attrs.frozen
class Window:
    """A time over which burn is computed.

    Args:
        name: Name in tables.
        length_ms: Length in milliseconds.
        alert_rate: Burn rate from which somebody has to act.
    """

    name: str
    length_ms: int
    alert_rate: float


WINDOWS = (
    Window('5m', 5 * _MINUTE_MS, _FAST_RATE),
    Window('1h', _HOUR_MS, _FAST_RATE),
    Window('30m', _HOUR_MS // 2, _SLOW_RATE),
    Window('6h', 6 * _HOUR_MS, _SLOW_RATE),
    Window('3d', 3 * _DAY_MS, 1),
)


@final
@attrs.frozen
class BurnRow:
    """Burn of one objective of a service over one window.

    Args:
        service: The service.
        objective: ``availability`` or ``latency``.
        window: Name of the window.
        burn_rate: Budget spent relative to spending it evenly; nothing when
            there are no requests.
        budget_left: Part of the window's budget that is left.
        requests: Requests that were counted.
        covered: Part of the window that samples cover; below 1 there are
            gaps, in which nothing is known.
        region: Region that burned most.
        reason: Leading reason there.
        is_alert: The burn rate is over the window's limit.
    """

    service: str
    objective: str
    window: str
    burn_rate: float | None
    budget_left: float | None
    requests: float
    covered: float
    region: str
    reason: str
    is_alert: bool


def compute_burn_rows(
    samples: Iterable[Sample],
    objectives: Iterable[Objective],
    now_ms: int,
) -> list[BurnRow]:
    """Return the burn of all objectives over all windows.

    Args:
        samples: Samples of any entry VMs.
        objectives: Objectives by service.
        now_ms: End of the windows, Unix milliseconds.
    """
    kept = list(samples)
    rows: list[BurnRow] = []
    for objective in objectives:
        steps = compute_increases(kept, objective.service, objective.latency_ms)
        for window in WINDOWS:
            inside = _increases_within(steps, window, now_ms)
            covered = _coverage(inside, window, now_ms)
            rows.append(_availability_row(objective, window, inside, covered))
            rows.append(_latency_row(objective, window, inside, covered))
    return rows


def _increases_within(
    steps: list[Increase],
    window: Window,
    now_ms: int,
) -> list[Increase]:
    begin_ms = now_ms - window.length_ms
    return [
        step
        for step in steps
        if step.from_ms >= begin_ms and step.to_ms <= now_ms
    ]


def _coverage(steps: list[Increase], window: Window, now_ms: int) -> float:
    """Return the part of a window in which any entry VM was sampled."""
    covered_ms = 0
    reached_ms = now_ms - window.length_ms
    for step in sorted(steps, key=lambda each: each.from_ms):
        begin_ms = max(step.from_ms, reached_ms)
        covered_ms += max(step.to_ms - begin_ms, 0)
        reached_ms = max(reached_ms, step.to_ms)
    return covered_ms / window.length_ms


def _availability_row(
    objective: Objective,
    window: Window,
    steps: list[Increase],
    covered: float,
) -> BurnRow:
    bad = sum(step.bad for step in steps)
    total = bad + sum(step.good for step in steps)
    region = _most_common(Counter(_sum_by_region(steps, 'bad')))
    reasons: Counter[str] = Counter()
    for step in steps:
        if step.region == region:
            reasons.update(_rounded_counts(step.reasons))
    rate = _burn_rate(bad, total, 1 - objective.availability)
    row = _burn_row(objective.service, window, rate, covered)
    return attrs.evolve(
        row,
        objective='availability',
        requests=total,
        region=region,
        reason=_most_common(reasons),
    )


def _latency_row(
    objective: Objective,
    window: Window,
    steps: list[Increase],
    covered: float,
) -> BurnRow:
    late = sum(step.late for step in steps)
    total = sum(step.completed for step in steps)
    rate = _burn_rate(late, total, 1 - objective.latency_part)
    row = _burn_row(objective.service, window, rate, covered)
    return attrs.evolve(
        row,
        objective='latency',
        requests=total,
        region=_most_common(Counter(_sum_by_region(steps, 'late'))),
        reason=f'over {objective.latency_ms} ms' if late else _NONE,
    )


def _sum_by_region(steps: list[Increase], field: str) -> dict[str, int]:
    amounts: dict[str, int] = {}
    for step in steps:
        known = amounts.get(step.region, 0)
        amounts[step.region] = known + round(getattr(step, field))
    return amounts


def _rounded_counts(reasons: dict[str, float]) -> dict[str, int]:
    return {reason: round(count) for reason, count in reasons.items()}


def _burn_row(
    service: str,
    window: Window,
    rate: float | None,
    covered: float,
) -> BurnRow:
    return BurnRow(
        service=service,
        objective='',
        window=window.name,
        burn_rate=rate,
        budget_left=None if rate is None else max(1 - rate, 0),
        requests=0,
        covered=covered,
        region=_NONE,
        reason=_NONE,
        is_alert=rate is not None and rate >= window.alert_rate,
    )


def _burn_rate(bad: float, total: float, budget: float) -> float | None:
    return bad / total / budget if total else None


def _most_common(counts: Counter[str]) -> str:
    for name, count in counts.most_common(1):
        if count:
            return name
    return _NONE
