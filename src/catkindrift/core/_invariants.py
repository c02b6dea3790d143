"""Invariants that are checked at run time."""

import enum
from collections import Counter
from typing import final

import attrs


@final
class Invariant(enum.StrEnum):
    """Conditions that must always hold.

    The values are labels of the invariant metrics.
    """

    SHIFT_WITHIN_CAP = 'shift_within_cap'
    REGION_WITHIN_ROOM = 'region_within_room'
    NO_WORK_FOR_LEAVING = 'no_work_for_leaving'
    REVISION_RISES = 'revision_rises'
    CLAIM_BEFORE_DISPATCH = 'claim_before_dispatch'
    NOT_RUN_IS_TRUE = 'not_run_is_true'
    RETRIES_WITHIN_BUDGET = 'retries_within_budget'
    LENT_WITHIN_SHARE = 'lent_within_share'


@final
@attrs.define
class Invariants:
    """Counts checks and violations; a violation never stops the process."""

    checked: Counter[Invariant] = attrs.field(factory=Counter)
    breached: Counter[Invariant] = attrs.field(factory=Counter)

    def check(self, invariant: Invariant, *, holds: bool) -> None:
        """Count one check, and a violation unless the invariant holds."""
        self.checked[invariant] += 1
        if not holds:
            self.breached[invariant] += 1
