"""Invariants that the program checks while it runs."""

import enum
from collections import Counter
from typing import final

import attrs


@final
class Invariant(enum.StrEnum):
    """What must always hold."""

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
    """Counts checks and breaches; a breach never stops the program."""

    checked: Counter[Invariant] = attrs.field(factory=Counter)
    breached: Counter[Invariant] = attrs.field(factory=Counter)

    def check(self, invariant: Invariant, *, holds: bool) -> None:
        """Count one check."""
        self.checked[invariant] += 1
        if not holds:
            self.breached[invariant] += 1
