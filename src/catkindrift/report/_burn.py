"""Error budget burn over several windows."""

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
# Alert thresholds: a fast burn spends 2% of a monthly budget in one hour, a
# slow burn 5% in six hours.
_FAST_RATE = 14.4
_SLOW_RATE = 6
_NONE = 'none'


@final
@attrs.frozen
class Window:
    """Window over which the burn rate is computed.

    Args:
        name: Name shown in reports.
        length_ms: Length in milliseconds.
        alert_rate: Burn rate at which an alert is raised.
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
    """Error budget burn of one objective of a service in one window.

    Args:
        service: Name of the service.
        objective: ``availability`` or ``latency``.
        window: Name of the window.
        burn_rate: Fraction of failed or late requests divided by the error
            budget; 1 spends the budget evenly. None without requests.
        budget_left: Remaining fraction of the window's budget. None without
            requests.
        requests: Number of requests counted.
        covered: Fraction of the window covered by samples; below 1 there
            are gaps without data.
        region: Region with the most failed or late requests.
        reason: Most common reason for them, or ``none``.
        is_alert: Whether the burn rate has reached the window's alert rate.
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
    """Compute the burn of all objectives in all windows.

    Args:
        samples: Samples of any number of entry VMs, in any order.
        objectives: Objectives, one for each service.
        now_ms: End of the windows in Unix milliseconds.
    """
    all_samples = list(samples)
    rows: list[BurnRow] = []
    for objective in objectives:
        increases = compute_increases(
            all_samples, objective.service, objective.latency_ms
        )
        for window in WINDOWS:
            inside = _increases_within(increases, window, now_ms)
            covered = _coverage(inside, window, now_ms)
            rows.append(_availability_row(objective, window, inside, covered))
            rows.append(_latency_row(objective, window, inside, covered))
    return rows


def _increases_within(
    increases: list[Increase],
    window: Window,
    now_ms: int,
) -> list[Increase]:
    begin_ms = now_ms - window.length_ms
    return [
        increase
        for increase in increases
        if increase.from_ms >= begin_ms and increase.to_ms <= now_ms
    ]


def _coverage(increases: list[Increase], window: Window, now_ms: int) -> float:
    """Return the fraction of a window in which any entry VM was sampled."""
    covered_ms = 0
    covered_until_ms = now_ms - window.length_ms
    for increase in sorted(increases, key=lambda each: each.from_ms):
        begin_ms = max(increase.from_ms, covered_until_ms)
        covered_ms += max(increase.to_ms - begin_ms, 0)
        covered_until_ms = max(covered_until_ms, increase.to_ms)
    return covered_ms / window.length_ms


def _availability_row(
    objective: Objective,
    window: Window,
    increases: list[Increase],
    covered: float,
) -> BurnRow:
    bad = sum(increase.bad for increase in increases)
    total = bad + sum(increase.good for increase in increases)
    region = _most_common(Counter(_sum_by_region(increases, 'bad')))
    reasons: Counter[str] = Counter()
    for increase in increases:
        if increase.region == region:
            reasons.update(_rounded_counts(increase.reasons))
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
    increases: list[Increase],
    covered: float,
) -> BurnRow:
    late = sum(increase.late for increase in increases)
    total = sum(increase.completed for increase in increases)
    rate = _burn_rate(late, total, 1 - objective.latency_part)
    row = _burn_row(objective.service, window, rate, covered)
    return attrs.evolve(
        row,
        objective='latency',
        requests=total,
        region=_most_common(Counter(_sum_by_region(increases, 'late'))),
        reason=f'over {objective.latency_ms} ms' if late else _NONE,
    )


def _sum_by_region(increases: list[Increase], field: str) -> dict[str, int]:
    amounts: dict[str, int] = {}
    for increase in increases:
        so_far = amounts.get(increase.region, 0)
        amounts[increase.region] = so_far + round(getattr(increase, field))
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
